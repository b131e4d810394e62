package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * Claims abandoned while a write of them was pending or its answer lost; the write may still be
 * applied.
 */
final class AbandonedClaims {
    static final int MAX_TRACKED = 10_000;

    private final Map<RunId, RequestKey> keyByRun = new LinkedHashMap<>();

    boolean isEmpty() {
        return keyByRun.isEmpty();
    }

    /** Tracks an abandoned claim; drops the oldest one if there are too many. */
    void add(RequestKey key, RunId run) {
        keyByRun.put(run, key);
        if (keyByRun.size() > MAX_TRACKED) {
            keyByRun.remove(keyByRun.keySet().iterator().next());
        }
    }

    /** Removes and returns the claims that are present in {@code head}. */
    List<ClaimRecord> removeApplied(ClaimHead head) {
        List<ClaimRecord> applied = new ArrayList<>();
        for (Map.Entry<RunId, RequestKey> entry : keyByRun.entrySet()) {
            head.find(entry.getValue(), entry.getKey()).ifPresent(applied::add);
        }
        applied.forEach(record -> keyByRun.remove(record.run()));
        return applied;
    }
}

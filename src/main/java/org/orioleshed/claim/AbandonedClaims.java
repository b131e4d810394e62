package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/** Claims given up while a write of them was under way or its answer lost; they may still land. */
final class AbandonedClaims {
    static final int MAX_WATCHED = 10_000;

    private final Map<RunId, RequestKey> keyByRun = new LinkedHashMap<>();

    boolean isEmpty() {
        return keyByRun.isEmpty();
    }

    /** Watches for a claim to land; the oldest is watched no more when there are too many. */
    void add(RequestKey key, RunId run) {
        keyByRun.put(run, key);
        if (keyByRun.size() > MAX_WATCHED) {
            keyByRun.remove(keyByRun.keySet().iterator().next());
        }
    }

    /** Returns the claims that {@code head} shows to have landed, and watches them no more. */
    List<ClaimRecord> takeLanded(ClaimHead head) {
        List<ClaimRecord> landed = new ArrayList<>();
        for (Map.Entry<RunId, RequestKey> entry : keyByRun.entrySet()) {
            head.find(entry.getValue(), entry.getKey()).ifPresent(landed::add);
        }
        landed.forEach(record -> keyByRun.remove(record.run()));
        return landed;
    }
}

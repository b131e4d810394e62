package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.model.HostId;

/** The times since when hosts have been suspected or dead. */
final class HealthTimestamps {
    private final Map<HostId, Long> suspectSinceNanos = new HashMap<>();
    private final Map<HostId, Long> deadSinceNanos = new HashMap<>();

    /** Records the current health of a host. */
    void update(Member member, long nowNanos) {
        HostId id = member.id();
        if (member.health() == Member.Health.SUSPECT) {
            suspectSinceNanos.putIfAbsent(id, nowNanos);
        } else {
            suspectSinceNanos.remove(id);
        }
        if (member.health() == Member.Health.DEAD) {
            deadSinceNanos.put(id, nowNanos);
        } else {
            deadSinceNanos.remove(id);
        }
    }

    /** Restarts the suspicion timeout of all suspects. */
    void restartSuspicions(long nowNanos) {
        suspectSinceNanos.replaceAll((id, since) -> nowNanos);
    }

    /** Returns the hosts that have been suspected for {@code limitNanos}. */
    List<HostId> suspectedFor(long nowNanos, long limitNanos) {
        return olderThan(suspectSinceNanos, nowNanos, limitNanos);
    }

    /** Removes and returns the hosts that have been dead for {@code limitNanos}. */
    List<HostId> removeDeadFor(long nowNanos, long limitNanos) {
        List<HostId> expired = olderThan(deadSinceNanos, nowNanos, limitNanos);
        deadSinceNanos.keySet().removeAll(expired);
        return expired;
    }

    /** Returns the dead hosts that are still retained. */
    Set<HostId> dead() {
        return deadSinceNanos.keySet();
    }

    private static List<HostId> olderThan(Map<HostId, Long> since, long nowNanos, long limitNanos) {
        List<HostId> older = new ArrayList<>();
        for (Map.Entry<HostId, Long> entry : since.entrySet()) {
            if (nowNanos - entry.getValue() >= limitNanos) {
                older.add(entry.getKey());
            }
        }
        return older;
    }
}

package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.model.HostId;

/** Since when hosts have been suspected, or dead. */
final class HealthClock {
    private final Map<HostId, Long> suspectSinceNanos = new HashMap<>();
    private final Map<HostId, Long> deadSinceNanos = new HashMap<>();

    /** Takes what is now held true of a host. */
    void track(Member member, long nowNanos) {
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

    /** Gives all suspects their whole time again. */
    void restartSuspicions(long nowNanos) {
        suspectSinceNanos.replaceAll((id, since) -> nowNanos);
    }

    /** Returns the hosts that have been suspected for {@code limitNanos}. */
    List<HostId> overdue(long nowNanos, long limitNanos) {
        return older(suspectSinceNanos, nowNanos, limitNanos);
    }

    /** Returns the hosts that have been dead for {@code limitNanos}, and forgets them. */
    List<HostId> takeForgotten(long nowNanos, long limitNanos) {
        List<HostId> forgotten = older(deadSinceNanos, nowNanos, limitNanos);
        deadSinceNanos.keySet().removeAll(forgotten);
        return forgotten;
    }

    /** Returns the dead that are remembered. */
    Set<HostId> dead() {
        return deadSinceNanos.keySet();
    }

    private static List<HostId> older(Map<HostId, Long> since, long nowNanos, long limitNanos) {
        List<HostId> older = new ArrayList<>();
        for (Map.Entry<HostId, Long> entry : since.entrySet()) {
            if (nowNanos - entry.getValue() >= limitNanos) {
                older.add(entry.getKey());
            }
        }
        return older;
    }
}

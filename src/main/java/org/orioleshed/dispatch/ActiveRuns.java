package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.orioleshed.model.HostId;

/** The runs under way over all pools, each with its server. */
final class ActiveRuns {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A run whose end was not reported this long after its deadline is removed. */
    private static final long OVERDUE_GRACE_MILLIS = 1_500;

    private static final long OVERDUE_CHECK_PERIOD_NANOS = 200 * NANOS_PER_MILLI;

    private final Map<RunKey, ServerState> servers = new HashMap<>();
    private long overdueCheckedNanos = Long.MIN_VALUE / 2;

    int size() {
        return servers.size();
    }

    boolean contains(RunKey run) {
        return servers.containsKey(run);
    }

    void put(RunKey run, ServerState server) {
        servers.put(run, server);
    }

    /** Returns the server of a run; null if the run is not under way. */
    ServerState server(RunKey run) {
        return servers.get(run);
    }

    /** Removes a run; returns its server, or null if the run is not under way. */
    ServerState remove(RunKey run) {
        return servers.remove(run);
    }

    /** Returns the runs that a host reported. */
    List<RunKey> ofHost(HostId host) {
        return servers.keySet().stream().filter(run -> run.origin().equals(host)).toList();
    }

    /** Returns the runs whose end is overdue; empty if they were checked a short time ago. */
    List<RunKey> overdue(long nowNanos) {
        if (servers.isEmpty() || nowNanos - overdueCheckedNanos < OVERDUE_CHECK_PERIOD_NANOS) {
            return List.of();
        }
        overdueCheckedNanos = nowNanos;
        Predicate<Map.Entry<RunKey, ServerState>> overdue =
                entry -> isOverdue(entry.getValue().runs().get(entry.getKey()), nowNanos);
        return servers.entrySet().stream().filter(overdue).map(Map.Entry::getKey).toList();
    }

    private static boolean isOverdue(ActiveRun run, long nowNanos) {
        long allowedMillis = run.request().deadlineLeftMillis() + OVERDUE_GRACE_MILLIS;
        return nowNanos - run.sentNanos() > allowedMillis * NANOS_PER_MILLI;
    }
}

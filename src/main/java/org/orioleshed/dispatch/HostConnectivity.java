package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * Tells servers that are unreachable from a host that lost its connectivity. A host that reports
 * most of its servers unreachable at once is partitioned if other hosts reach those servers; its
 * reports say nothing about them.
 */
final class HostConnectivity {
    /** Hosts notice a partition and stop using the servers directly within this time. */
    private static final long WINDOW_NANOS = 1_000_000_000L;

    /** A single unreachable server is a fault of that server. */
    private static final int MIN_UNREACHABLE = 2;

    private final Map<HostId, Seen> hosts = new HashMap<>();
    private final Map<ServerId, LastAnswer> answers = new HashMap<>();

    /** When servers were unreachable to a host, and answered it. */
    private record Seen(Map<ServerId, Long> unreachableNanos, Map<ServerId, Long> answeredNanos) {
        void prune(long nowNanos) {
            unreachableNanos.values().removeIf(since -> nowNanos - since > WINDOW_NANOS);
            answeredNanos.values().removeIf(since -> nowNanos - since > WINDOW_NANOS);
        }
    }

    /** The last two hosts that a server answered, so that one is not the reporting host. */
    private record LastAnswer(HostId host, long nanos, HostId otherHost, long otherNanos) {
        LastAnswer with(HostId newHost, long newNanos) {
            return newHost.equals(host)
                    ? new LastAnswer(host, newNanos, otherHost, otherNanos)
                    : new LastAnswer(newHost, newNanos, host, nanos);
        }

        boolean isByOther(HostId reporter, long nowNanos) {
            return (!host.equals(reporter) && nowNanos - nanos <= WINDOW_NANOS)
                    || (otherHost != null
                            && !otherHost.equals(reporter)
                            && nowNanos - otherNanos <= WINDOW_NANOS);
        }
    }

    private Seen seen(HostId host) {
        return hosts.computeIfAbsent(host, key -> new Seen(new HashMap<>(), new HashMap<>()));
    }

    /** Records that a server sent a host an event or an answer. */
    void answered(HostId host, ServerId server, long nowNanos) {
        Seen seen = seen(host);
        seen.answeredNanos.put(server, nowNanos);
        seen.unreachableNanos.remove(server);
        answers.merge(
                server,
                new LastAnswer(host, nowNanos, null, 0),
                (before, now) -> before.with(host, nowNanos));
    }

    /** Returns a report of a host as it counts for the server. */
    RunReport attribute(HostId host, ServerId server, RunReport report, long nowNanos) {
        return switch (report.outcome()) {
            case ANSWERED, FAILED, REJECTED -> {
                answered(host, server, nowNanos);
                yield report;
            }
            case UNREACHABLE -> {
                Seen seen = seen(host);
                seen.unreachableNanos.put(server, nowNanos);
                seen.answeredNanos.remove(server);
                seen.prune(nowNanos);
                yield isPartitioned(seen) && isReachedByOthers(host, server, nowNanos)
                        ? withoutFault(report)
                        : report;
            }
            case CANCELLED, BROKEN, TIMED_OUT, MISDIRECTED -> report;
        };
    }

    private static boolean isPartitioned(Seen seen) {
        int unreachable = seen.unreachableNanos.size();
        return unreachable >= MIN_UNREACHABLE && unreachable > seen.answeredNanos.size();
    }

    private boolean isReachedByOthers(HostId host, ServerId server, long nowNanos) {
        LastAnswer last = answers.get(server);
        return last != null && last.isByOther(host, nowNanos);
    }

    private static RunReport withoutFault(RunReport report) {
        return new RunReport(
                RunReport.Outcome.CANCELLED,
                report.events(),
                report.firstMillis(),
                report.totalMillis(),
                report.streamedMillis(),
                report.limit(),
                report.brittle());
    }

    /** Forgets a host that is gone. */
    void hostGone(HostId host) {
        hosts.remove(host);
    }

    /** Forgets the servers that left. */
    void retain(Set<ServerId> servers) {
        answers.keySet().retainAll(servers);
    }
}

package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.ServerId;

/**
 * The state that servers stated in their responses to this host: that they are leaving, until when
 * this host must send them nothing, which request rate they accept from all hosts together, that
 * they are cold, and that they are brittle. Servers may state this before the store does, or while
 * the store is unavailable.
 */
final class ServerNotices {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The maximum backoff that a server may request. */
    private static final long MAX_BACKOFF_MILLIS = 600_000;

    /** A limit in force is stated again within this time, however low the accepted rate is. */
    private static final long LIMIT_RETENTION_NANOS = 30_000 * NANOS_PER_MILLI;

    private static final int MAX_NOTICES = 4_096;

    private final Map<ServerId, Notice> notices = new LinkedHashMap<>();

    private static final class Notice {
        private PoolServer server;
        private boolean leaving;
        private long backoffUntilNanos;
        private StatedLimit limit = StatedLimit.NONE;
        private long limitNanos;
        private StatedLimit brittle = StatedLimit.NONE;
        private long brittleNanos;
        private long warmupMillis;
        private long warmupNanos;

        Notice(PoolServer server, long nowNanos) {
            this.server = server;
            this.backoffUntilNanos = nowNanos;
        }

        boolean isInForce(long nowNanos) {
            return leaving || backoffUntilNanos - nowNanos > 0;
        }

        Optional<DispatchEvent.ServerLimited> recentLimit(long nowNanos) {
            boolean recent = nowNanos - limitNanos < LIMIT_RETENTION_NANOS;
            return recent && limit instanceof StatedLimit.Rate rate
                    ? Optional.of(
                            new DispatchEvent.ServerLimited(
                                    server.id(), server.startMillis(), rate))
                    : Optional.empty();
        }

        /** Takes what a response states of rejections that crash the server. */
        void updateBrittle(StatedLimit stated, long nowNanos) {
            if (!(stated instanceof StatedLimit.Unknown)) {
                brittle = stated;
                brittleNanos = nowNanos;
            }
        }

        Optional<DispatchEvent.ServerBrittle> recentBrittle(long nowNanos) {
            boolean recent = nowNanos - brittleNanos < LIMIT_RETENTION_NANOS;
            return recent && brittle instanceof StatedLimit.Rate rate
                    ? Optional.of(
                            new DispatchEvent.ServerBrittle(
                                    server.id(), server.startMillis(), rate))
                    : Optional.empty();
        }

        /** Takes a statement that the server is cold. */
        void updateWarmup(long leftMillis, long nowNanos) {
            if (leftMillis > 0) {
                warmupMillis = leftMillis;
                warmupNanos = nowNanos;
            }
        }

        Optional<DispatchEvent.ServerCold> recentWarmup(long nowNanos) {
            long ageNanos = nowNanos - warmupNanos;
            boolean cold =
                    ageNanos < LIMIT_RETENTION_NANOS && ageNanos / NANOS_PER_MILLI < warmupMillis;
            return cold
                    ? Optional.of(cold(server, warmupMillis, ageNanos / NANOS_PER_MILLI))
                    : Optional.empty();
        }

        /** Updates the limit from a response; returns whether it changed. */
        boolean updateLimit(StatedLimit stated, long nowNanos) {
            limitNanos = nowNanos;
            if (stated instanceof StatedLimit.Unknown || stated.equals(limit)) {
                return false;
            }
            limit = stated;
            return true;
        }
    }

    /**
     * The changes that a response brought.
     *
     * @param newlyLeaving whether the server states for the first time that it is leaving
     * @param limitChanged whether the server's limit changed
     */
    record Update(boolean newlyLeaving, boolean limitChanged) {
        private static final Update NONE = new Update(false, false);
    }

    /** Takes the server state stated in a response, and returns what is new in it. */
    Update record(PoolServer server, ResponseHeaders responseHeaders, long nowNanos) {
        Notice notice = notices.get(server.id());
        if (notice == null || !notice.server.sameStart(server)) {
            if (statesNothing(responseHeaders)) {
                return Update.NONE;
            }
            notice = new Notice(server, nowNanos);
            notices.put(server.id(), notice);
            while (notices.size() > MAX_NOTICES) {
                notices.remove(notices.keySet().iterator().next());
            }
        }
        long backoffMillis = Math.clamp(responseHeaders.backoffMillis(), 0, MAX_BACKOFF_MILLIS);
        long untilNanos = nowNanos + backoffMillis * NANOS_PER_MILLI;
        if (untilNanos - notice.backoffUntilNanos > 0) {
            notice.backoffUntilNanos = untilNanos;
        }
        boolean newlyLeaving = responseHeaders.leaving() && !notice.leaving;
        notice.leaving |= responseHeaders.leaving();
        notice.updateWarmup(responseHeaders.warmupMillis(), nowNanos);
        notice.updateBrittle(responseHeaders.brittle(), nowNanos);
        return new Update(newlyLeaving, notice.updateLimit(responseHeaders.limit(), nowNanos));
    }

    private static boolean statesNothing(ResponseHeaders responseHeaders) {
        boolean limited = responseHeaders.limit() instanceof StatedLimit.Rate;
        return !responseHeaders.leaving()
                && responseHeaders.backoffMillis() <= 0
                && responseHeaders.warmupMillis() <= 0
                && !limited
                && !(responseHeaders.brittle() instanceof StatedLimit.Rate);
    }

    /** Returns whether this host must send nothing to this incarnation of a server now. */
    boolean avoids(PoolServer server, long nowNanos) {
        Notice notice = notices.get(server.id());
        return notice != null && notice.server.sameStart(server) && notice.isInForce(nowNanos);
    }

    /** Returns the servers to which this host must send nothing now. */
    Set<ServerId> avoided(long nowNanos) {
        if (notices.isEmpty()) {
            return Set.of();
        }
        Set<ServerId> result = new HashSet<>();
        notices.forEach(
                (id, notice) -> {
                    if (notice.isInForce(nowNanos)) {
                        result.add(id);
                    }
                });
        return result;
    }

    /** Returns the server incarnations that stated that they are leaving. */
    Collection<PoolServer> leaving() {
        return notices.values().stream()
                .filter(notice -> notice.leaving)
                .map(notice -> notice.server)
                .toList();
    }

    /** Returns the request rate limits that servers stated recently. */
    List<DispatchEvent.ServerLimited> limits(long nowNanos) {
        return notices.values().stream()
                .flatMap(notice -> notice.recentLimit(nowNanos).stream())
                .toList();
    }

    /** Returns what schedulers must be told of a response at once, before its run ends. */
    List<DispatchEvent.ServerNotice> stated(PoolServer server, ResponseHeaders responseHeaders) {
        return responseHeaders.warmupMillis() > 0
                ? List.of(cold(server, responseHeaders.warmupMillis(), 0))
                : List.of();
    }

    private static DispatchEvent.ServerCold cold(
            PoolServer server, long leftMillis, long ageMillis) {
        return new DispatchEvent.ServerCold(
                server.id(),
                server.startMillis(),
                leftMillis,
                ageMillis,
                DispatchEvent.ServerCold.Source.ANSWER);
    }

    /** Returns what servers stated recently, for a new primary. */
    List<DispatchEvent.ServerNotice> reports(long nowNanos) {
        List<DispatchEvent.ServerNotice> result = new ArrayList<>(limits(nowNanos));
        notices.values().forEach(it -> it.recentWarmup(nowNanos).ifPresent(result::add));
        notices.values().forEach(it -> it.recentBrittle(nowNanos).ifPresent(result::add));
        return result;
    }

    private static boolean hasRestarted(PoolServer server, Map<ServerId, PoolServer> present) {
        PoolServer current = present.get(server.id());
        return current != null && !server.sameStart(current);
    }

    /**
     * Takes a change of the servers in force. A notice ends when its server has restarted, or when
     * its entry no longer marks it as draining; it outlasts the removal of the entry.
     */
    void serversChanged(Collection<PoolServer> servers) {
        if (notices.isEmpty()) {
            return;
        }
        Map<ServerId, PoolServer> present = new HashMap<>();
        servers.forEach(server -> present.put(server.id(), server));
        notices.values().removeIf(notice -> hasRestarted(notice.server, present));
        for (Notice notice : notices.values()) {
            PoolServer current = present.getOrDefault(notice.server.id(), notice.server);
            if (notice.server.draining() && !current.draining()) {
                notice.leaving = false;
            }
            notice.server = current;
        }
    }
}

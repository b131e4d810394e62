package org.orioleshed.gateway;

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
 * What servers told this host in their answers: that they leave, until when they want nothing from
 * it, and how many requests they take from all hosts together. Answers the load pattern of servers
 * that say so before the store does, or while it is away.
 */
final class ServerNotices {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A server that wants to be left alone for longer is not believed beyond this. */
    private static final long MAX_REST_MILLIS = 600_000;

    /** A server whose limit still holds is heard of within this time, however few it takes. */
    private static final long LIMIT_MEMORY_NANOS = 30_000 * NANOS_PER_MILLI;

    private static final int MAX_NOTICES = 4_096;

    private final Map<ServerId, Notice> notices = new LinkedHashMap<>();

    private static final class Notice {
        private PoolServer server;
        private boolean leaving;
        private long restUntilNanos;
        private StatedLimit limit = StatedLimit.NONE;
        private long limitNanos;

        Notice(PoolServer server, long nowNanos) {
            this.server = server;
            this.restUntilNanos = nowNanos;
        }

        boolean isInForce(long nowNanos) {
            return leaving || restUntilNanos - nowNanos > 0;
        }

        Optional<DispatchEvent.ServerLimited> limited(long nowNanos) {
            boolean recent = nowNanos - limitNanos < LIMIT_MEMORY_NANOS;
            return recent && limit instanceof StatedLimit.Rate rate
                    ? Optional.of(
                            new DispatchEvent.ServerLimited(
                                    server.id(), server.startMillis(), rate))
                    : Optional.empty();
        }

        /** Takes the limit that an answer states; returns whether it is another than before. */
        boolean takeLimit(StatedLimit stated, long nowNanos) {
            limitNanos = nowNanos;
            if (stated instanceof StatedLimit.Unknown || stated.equals(limit)) {
                return false;
            }
            limit = stated;
            return true;
        }
    }

    /**
     * What is new to this host in an answer.
     *
     * @param leaves whether the server says for the first time that it leaves
     * @param limit whether the server's limit is another one than before
     */
    record News(boolean leaves, boolean limit) {
        private static final News NOTHING = new News(false, false);
    }

    /** Takes what an answer said, and returns what is new in it. */
    News note(PoolServer server, ResponseHeaders responseHeaders, long nowNanos) {
        Notice notice = notices.get(server.id());
        if (notice == null || !notice.server.sameStart(server)) {
            if (saysNothing(responseHeaders)) {
                return News.NOTHING;
            }
            notice = new Notice(server, nowNanos);
            notices.put(server.id(), notice);
            while (notices.size() > MAX_NOTICES) {
                notices.remove(notices.keySet().iterator().next());
            }
        }
        long restMillis = Math.clamp(responseHeaders.restMillis(), 0, MAX_REST_MILLIS);
        long untilNanos = nowNanos + restMillis * NANOS_PER_MILLI;
        if (untilNanos - notice.restUntilNanos > 0) {
            notice.restUntilNanos = untilNanos;
        }
        boolean leaves = responseHeaders.leaving() && !notice.leaving;
        notice.leaving |= responseHeaders.leaving();
        return new News(leaves, notice.takeLimit(responseHeaders.limit(), nowNanos));
    }

    private static boolean saysNothing(ResponseHeaders responseHeaders) {
        boolean limited = responseHeaders.limit() instanceof StatedLimit.Rate;
        return !responseHeaders.leaving() && responseHeaders.restMillis() <= 0 && !limited;
    }

    /** Returns whether a start of a server is to get nothing from this host now. */
    boolean avoids(PoolServer server, long nowNanos) {
        Notice notice = notices.get(server.id());
        return notice != null && notice.server.sameStart(server) && notice.isInForce(nowNanos);
    }

    /** Returns the servers that are to get nothing from this host now. */
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

    /** Returns the starts of servers that said that they leave. */
    Collection<PoolServer> leaving() {
        return notices.values().stream()
                .filter(notice -> notice.leaving)
                .map(notice -> notice.server)
                .toList();
    }

    /** Returns how many requests servers said of late that they take. */
    List<DispatchEvent.ServerLimited> limits(long nowNanos) {
        return notices.values().stream()
                .flatMap(notice -> notice.limited(nowNanos).stream())
                .toList();
    }

    private static boolean isOther(PoolServer server, Map<ServerId, PoolServer> present) {
        PoolServer now = present.get(server.id());
        return now != null && !server.sameStart(now);
    }

    /**
     * The servers in force changed. A notice ends when its server has started anew, or takes back
     * in its entry that it leaves; it outlasts an entry that is away.
     */
    void changed(Collection<PoolServer> servers) {
        if (notices.isEmpty()) {
            return;
        }
        Map<ServerId, PoolServer> present = new HashMap<>();
        servers.forEach(server -> present.put(server.id(), server));
        notices.values().removeIf(notice -> isOther(notice.server, present));
        for (Notice notice : notices.values()) {
            PoolServer now = present.getOrDefault(notice.server.id(), notice.server);
            if (notice.server.draining() && !now.draining()) {
                notice.leaving = false;
            }
            notice.server = now;
        }
    }
}

package org.orioleshed.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;

/**
 * What servers told this host in their answers: that they leave, and until when they want nothing
 * from it. Answers the load pattern of servers that say so before the store does, or while it is
 * away.
 */
final class ServerNotices {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A server that wants to be left alone for longer is not believed beyond this. */
    private static final long MAX_REST_MILLIS = 600_000;

    private final Map<ServerId, Notice> notices = new HashMap<>();

    private static final class Notice {
        private PoolServer server;
        private boolean leaving;
        private long restUntilNanos;

        Notice(PoolServer server, long nowNanos) {
            this.server = server;
            this.restUntilNanos = nowNanos;
        }

        boolean isInForce(long nowNanos) {
            return leaving || restUntilNanos - nowNanos > 0;
        }
    }

    /**
     * Takes what an answer said.
     *
     * @return whether it is new that the server leaves
     */
    boolean note(PoolServer server, AnswerFacts facts, long nowNanos) {
        if (!facts.leaving() && facts.restMillis() <= 0) {
            return false;
        }
        Notice notice = notices.get(server.id());
        if (notice == null || !notice.server.sameStart(server)) {
            notice = new Notice(server, nowNanos);
            notices.put(server.id(), notice);
        }
        long restMillis = Math.clamp(facts.restMillis(), 0, MAX_REST_MILLIS);
        long untilNanos = nowNanos + restMillis * NANOS_PER_MILLI;
        if (untilNanos - notice.restUntilNanos > 0) {
            notice.restUntilNanos = untilNanos;
        }
        boolean isNew = facts.leaving() && !notice.leaving;
        notice.leaving |= facts.leaving();
        return isNew;
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

    private static boolean isSameStart(PoolServer server, Map<ServerId, PoolServer> present) {
        PoolServer now = present.get(server.id());
        return now != null && server.sameStart(now);
    }

    /**
     * The servers in force changed. A notice ends when its server is gone, has started anew, or
     * takes back in its entry that it leaves.
     */
    void changed(Collection<PoolServer> servers) {
        if (notices.isEmpty()) {
            return;
        }
        Map<ServerId, PoolServer> present = new HashMap<>();
        servers.forEach(server -> present.put(server.id(), server));
        notices.values().removeIf(notice -> !isSameStart(notice.server, present));
        for (Notice notice : notices.values()) {
            PoolServer now = present.get(notice.server.id());
            if (notice.server.draining() && !now.draining()) {
                notice.leaving = false;
            }
            notice.server = now;
        }
    }
}

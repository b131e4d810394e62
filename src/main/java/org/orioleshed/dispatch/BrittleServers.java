package org.orioleshed.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;

/**
 * The servers that stated that they crash when they have to reject too many requests. While no
 * primary responds, as many hosts as a server has slots use it, with one request in flight each, so
 * that together they stay within its slots.
 */
final class BrittleServers {
    private static final int MAX_SERVERS = 4_096;

    /** The window of a server that was not seen to reject or crash: its slots are the limit. */
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final Map<ServerId, BrittleServer> servers = new LinkedHashMap<>();
    private final HostRanks ranks = new HostRanks(KnownHosts::live);
    private final Quotas.Role role;
    private final Consumer<String> log;

    BrittleServers(Quotas.Role role, Consumer<String> log) {
        this.role = role;
        this.log = log;
    }

    /** Sets the hosts among which fallbacks share the servers. */
    void setHosts(KnownHosts newHosts) {
        ranks.setHosts(newHosts);
    }

    /** Returns the number of brittle servers. */
    int count() {
        return servers.size();
    }

    /**
     * Returns the state of a server; null if it is not brittle. A later start of a brittle server
     * is taken for brittle until an answer says otherwise, and gets one request at first.
     */
    private BrittleServer of(PoolServer server) {
        BrittleServer recorded = servers.get(server.id());
        if (recorded == null || recorded.startMillis() > server.startMillis()) {
            return null;
        }
        if (recorded.startMillis() == server.startMillis()) {
            return recorded;
        }
        BrittleServer restarted =
                new BrittleServer(
                        server.startMillis(),
                        recorded.statedPerSecond(),
                        1,
                        recorded.statedNanos());
        put(server.id(), restarted, "restart");
        return restarted;
    }

    private void put(ServerId id, BrittleServer server, String source) {
        servers.remove(id);
        servers.put(id, server);
        if (servers.size() > MAX_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
        log.accept(
                "event=server_brittle server=%s start=%d source=%s rejections_per_second=%s"
                        .formatted(id, server.startMillis(), source, server.statedPerSecond()));
    }

    /**
     * Records what a server stated in an answer.
     *
     * @param sentNanos when the answered request was placed, on the monotonic clock
     */
    void recordStated(PoolServer server, StatedLimit stated, long sentNanos, long nowNanos) {
        BrittleServer recorded = of(server);
        switch (stated) {
            case StatedLimit.Rate rate when recorded != null ->
                    recorded.state(rate.perSecond(), nowNanos);
            case StatedLimit.Rate rate -> {
                double perSecond = rate.perSecond();
                put(
                        server.id(),
                        new BrittleServer(server.startMillis(), perSecond, UNLIMITED, nowNanos),
                        "answer");
            }
            case StatedLimit.None none -> {
                if (recorded != null && sentNanos - recorded.statedNanos() >= 0) {
                    servers.remove(server.id());
                    log.accept(
                            "event=server_not_brittle server=%s start=%d"
                                    .formatted(server.id(), server.startMillis()));
                }
            }
            case StatedLimit.Unknown unknown -> {}
        }
    }

    /**
     * Takes what a host reports. What is recorded for this or a later start takes precedence. The
     * server gets one request at first, as other hosts may not have reported their runs yet.
     */
    void recordReported(DispatchEvent.ServerBrittle reported, long nowNanos) {
        BrittleServer recorded = servers.get(reported.server());
        if (recorded == null || recorded.startMillis() < reported.startMillis()) {
            double perSecond = reported.rejections().perSecond();
            put(
                    reported.server(),
                    new BrittleServer(reported.startMillis(), perSecond, 1, nowNanos),
                    "report");
        }
    }

    /** Records the end of a run, which its server still counts. */
    void recordEnd(ServerState state, RunReport.Outcome outcome, long nowNanos) {
        BrittleServer server = of(state.server());
        if (server == null) {
            return;
        }
        switch (outcome) {
            case ANSWERED -> server.recordAnswer(nowNanos);
            case REJECTED -> server.recordRejection(state.running() - 1, nowNanos);
            case UNREACHABLE, BROKEN -> {
                if (server.recordCrash()) {
                    log.accept(
                            "event=brittle_server_lost server=%s start=%d outcome=%s"
                                    .formatted(state.server().id(), server.startMillis(), outcome));
                }
            }
            case CANCELLED, FAILED, TIMED_OUT, MISDIRECTED -> {}
        }
    }

    /** Returns the most requests in flight that this scheduler may have at a server. */
    int window(PoolServer server) {
        BrittleServer recorded = of(server);
        if (recorded == null) {
            return UNLIMITED;
        }
        return switch (role) {
            case PRIMARY -> recorded.window();
            case FALLBACK -> ranks.of(server.id()) < server.slots() ? 1 : 0;
        };
    }

    /** Returns whether a request may be sent now to a server. */
    boolean admits(ServerState state, long nowNanos) {
        BrittleServer recorded = of(state.server());
        if (recorded == null) {
            return true;
        }
        long unanswered = state.runs().values().stream().filter(ActiveRun::waitsForFirst).count();
        return state.running() < window(state.server())
                && recorded.admits(state.running(), unanswered, nowNanos);
    }
}

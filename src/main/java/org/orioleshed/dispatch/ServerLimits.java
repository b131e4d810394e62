package org.orioleshed.dispatch;

import java.util.Map;
import java.util.function.Consumer;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServiceId;

/**
 * What servers state that limits the requests to them: a request rate, that they are cold, and that
 * they are brittle. A server that states nothing is not limited.
 */
final class ServerLimits {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ServerRates rates;
    private final ColdServers cold;
    private final BrittleServers brittle;

    /**
     * Makes an empty set of limits.
     *
     * @param role the role of this scheduler
     * @param coldBound the bound on requests to cold servers
     * @param log receives a line for each change of a server's state
     */
    ServerLimits(Quotas.Role role, ColdBound coldBound, Consumer<String> log) {
        this.rates = new ServerRates(role);
        this.cold = new ColdServers(coldBound, role, log);
        this.brittle = new BrittleServers(role, log);
    }

    /** Takes the pools in force. */
    void setPools(Map<ServiceId, Pool> pools) {
        cold.setPools(pools);
    }

    /** Sets the share of each limit that belongs to this scheduler. */
    void setShare(DispatchEvent.ShareChanged changed, long nowNanos) {
        rates.setShare(changed.quota(), nowNanos);
        cold.setShare(changed);
        brittle.setHosts(changed.hosts());
    }

    /** Takes what a server stated, as a host reports it. */
    void apply(DispatchEvent.ServerNotice notice, long nowNanos) {
        switch (notice) {
            case DispatchEvent.ServerLimited limited ->
                    rates.recordReported(
                            limited.server(),
                            limited.startMillis(),
                            limited.limit().perSecond(),
                            nowNanos);
            case DispatchEvent.ServerCold stated -> cold.state(stated, nowNanos);
            case DispatchEvent.ServerBrittle stated -> brittle.recordReported(stated, nowNanos);
        }
    }

    /**
     * Records the first event of a run, with what the server stated in the answer.
     *
     * @param sentNanos when the answered request was placed, on the monotonic clock
     */
    void recordFirst(PoolServer server, DispatchEvent.First first, long sentNanos, long nowNanos) {
        rates.recordStated(server, first.limit(), sentNanos, nowNanos);
        brittle.recordStated(server, first.brittle(), sentNanos, nowNanos);
    }

    /**
     * Records the end of a run, which its server still counts, with what the server stated.
     *
     * @param sentNanos when the request was placed, on the monotonic clock
     */
    void recordEnd(ServerState state, RunReport report, long sentNanos, long nowNanos) {
        PoolServer server = state.server();
        rates.recordStated(server, report.limit(), sentNanos, nowNanos);
        brittle.recordStated(server, report.brittle(), sentNanos, nowNanos);
        brittle.recordEnd(state, report.outcome(), nowNanos);
    }

    /** Returns whether a request may be sent to a server now. */
    boolean admits(ServerState state, long nowNanos) {
        PoolServer server = state.server();
        return rates.of(server).map(rate -> rate.hasRoom(nowNanos)).orElse(true)
                && cold.admits(server, nowNanos)
                && brittle.admits(state, nowNanos);
    }

    /**
     * Returns the number of slots that a server's limits can keep busy.
     *
     * @param maxSlots the slots that this scheduler may use
     * @param expectedRunMillis how long a request occupies a slot, in milliseconds
     */
    double slots(ServerState state, double maxSlots, double expectedRunMillis, long nowNanos) {
        PoolServer server = state.server();
        double most = Math.min(maxSlots, brittle.window(server));
        double perSecond = rates.of(server).map(ServerRate::perSecond).orElse(Double.MAX_VALUE);
        if (cold.isCold(server, nowNanos)) {
            perSecond = Math.min(perSecond, cold.perSecond(server));
        }
        return perSecond == Double.MAX_VALUE
                ? most
                : Math.min(most, perSecond * expectedRunMillis / MILLIS_PER_SECOND);
    }

    /** Counts a request that was sent to a server, whichever scheduler placed it. */
    void recordSent(PoolServer server, long nowNanos) {
        rates.of(server).ifPresent(rate -> rate.recordSent(nowNanos));
        cold.recordSent(server, nowNanos);
    }

    /** Returns whether a server is cold now. */
    boolean isCold(PoolServer server, long nowNanos) {
        return cold.isCold(server, nowNanos);
    }

    /** Logs the states that are over. */
    void tick(long nowNanos) {
        cold.tick(nowNanos);
    }

    /** Returns the limits of a server for the log line of a decision; empty if it has none. */
    String describe(PoolServer server, long nowNanos) {
        String rate =
                rates.of(server)
                        .map(limit -> " limit_per_second=%.2f".formatted(limit.perSecond()))
                        .orElse("");
        return isCold(server, nowNanos)
                ? rate + " cold_per_second=%.2f".formatted(cold.perSecond(server))
                : rate;
    }

    /** Returns how many servers have each state. */
    LimitCounts counts(long nowNanos) {
        return new LimitCounts(rates.count(), cold.count(nowNanos), brittle.count());
    }
}

package org.orioleshed.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;

/**
 * The rate limits stated by servers, by incarnation of the server. A limit is kept while the
 * server's entry is absent, since the entry can return after an interruption of its heartbeat and
 * the limit still holds then.
 */
final class ServerRates {
    private static final int MAX_SERVERS = 4_096;

    private final Map<ServerId, Entry> entries = new LinkedHashMap<>();
    private final double roleFraction;
    private double share = 1;

    private record Entry(long startMillis, ServerRate rate) {}

    /**
     * Makes an empty set of limits.
     *
     * @param role the role of this scheduler
     */
    ServerRates(Quotas.Role role) {
        this.roleFraction = role.serverRateFraction();
    }

    /** Returns the rate limit that a server stated, if any. */
    Optional<ServerRate> of(PoolServer server) {
        Entry entry = entries.get(server.id());
        boolean sameStart = entry != null && entry.startMillis() == server.startMillis();
        return sameStart ? Optional.of(entry.rate()) : Optional.empty();
    }

    /** Returns the number of recorded limits. */
    int count() {
        return entries.size();
    }

    /** Sets the share of each rate that belongs to this scheduler and its followers. */
    void setShare(double newShare, long nowNanos) {
        share = newShare;
        entries.values().forEach(entry -> entry.rate().setFraction(share * roleFraction, nowNanos));
    }

    /**
     * Records the limit that a server stated in an answer.
     *
     * @param sentNanos when the answered request was placed, on the monotonic clock
     */
    void recordStated(PoolServer server, StatedLimit limit, long sentNanos, long nowNanos) {
        switch (limit) {
            case StatedLimit.Rate rate -> update(server, rate.perSecond(), nowNanos);
            case StatedLimit.None none ->
                    of(server)
                            .filter(rate -> rate.isEndedByAnswerTo(sentNanos))
                            .ifPresent(rate -> entries.remove(server.id()));
            case StatedLimit.Unknown unknown -> {}
        }
    }

    private void update(PoolServer server, double perSecond, long nowNanos) {
        Optional<ServerRate> recorded = of(server);
        if (recorded.isPresent()) {
            recorded.get().update(perSecond, nowNanos);
            return;
        }
        put(server.id(), server.startMillis(), perSecond, nowNanos);
    }

    /**
     * Records a limit that a host reports. A limit already recorded for this or a later incarnation
     * takes precedence.
     */
    void recordReported(ServerId server, long startMillis, double perSecond, long nowNanos) {
        Entry entry = entries.get(server);
        if (entry == null || entry.startMillis() < startMillis) {
            put(server, startMillis, perSecond, nowNanos);
        }
    }

    private void put(ServerId server, long startMillis, double perSecond, long nowNanos) {
        entries.remove(server);
        ServerRate rate = new ServerRate(perSecond, share * roleFraction, nowNanos);
        entries.put(server, new Entry(startMillis, rate));
        if (entries.size() > MAX_SERVERS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}

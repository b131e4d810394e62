package org.orioleshed.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;

/**
 * The rates that servers named, by start of the server. One stays while its server's entry is away:
 * that comes back after a silence of its heartbeat, and the server's need with it.
 */
final class ServerRates {
    private static final int MAX_SERVERS = 4_096;

    private final Map<ServerId, Entry> entries = new LinkedHashMap<>();
    private final double rolePart;
    private double share = 1;

    private record Entry(long startMillis, ServerRate rate) {}

    /**
     * Makes an empty one.
     *
     * @param role who gives out
     */
    ServerRates(Quotas.Role role) {
        this.rolePart = role.serverRatePart();
    }

    /** Returns the rate that a server has named. */
    Optional<ServerRate> of(PoolServer server) {
        Entry entry = entries.get(server.id());
        boolean same = entry != null && entry.startMillis() == server.startMillis();
        return same ? Optional.of(entry.rate()) : Optional.empty();
    }

    /** Takes the part of each rate that belongs to this scheduler and those who follow it. */
    void share(double newShare, long nowNanos) {
        share = newShare;
        entries.values().forEach(entry -> entry.rate().part(share * rolePart, nowNanos));
    }

    /**
     * Takes what an answer of a server says.
     *
     * @param sentNanos when the answered request was placed
     */
    void stated(PoolServer server, StatedLimit limit, long sentNanos, long nowNanos) {
        switch (limit) {
            case StatedLimit.Rate rate -> named(server, rate.perSecond(), nowNanos);
            case StatedLimit.None none ->
                    of(server)
                            .filter(rate -> rate.isEndedByAnswerTo(sentNanos))
                            .ifPresent(rate -> entries.remove(server.id()));
            case StatedLimit.Unknown unknown -> {}
        }
    }

    private void named(PoolServer server, double perSecond, long nowNanos) {
        Optional<ServerRate> known = of(server);
        if (known.isPresent()) {
            known.get().named(perSecond, nowNanos);
            return;
        }
        begin(server.id(), server.startMillis(), perSecond, nowNanos);
    }

    /** A host remembers a rate that a server has named to it; a known one counts for more. */
    void reported(ServerId server, long startMillis, double perSecond, long nowNanos) {
        Entry entry = entries.get(server);
        if (entry == null || entry.startMillis() < startMillis) {
            begin(server, startMillis, perSecond, nowNanos);
        }
    }

    private void begin(ServerId server, long startMillis, double perSecond, long nowNanos) {
        entries.remove(server);
        ServerRate rate = new ServerRate(perSecond, share * rolePart, nowNanos);
        entries.put(server, new Entry(startMillis, rate));
        if (entries.size() > MAX_SERVERS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}

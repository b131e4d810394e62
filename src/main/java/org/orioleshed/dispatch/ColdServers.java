package org.orioleshed.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;

/**
 * The servers that are cold, and what this scheduler may send to each: a cold server crashes if it
 * gets requests at a rate well above the one that its pool declares. The allotments of all
 * schedulers, of primaries on the sides of a network partition and of hosts without a primary,
 * never add up to more than the bound that operators set.
 */
final class ColdServers {
    private static final int MAX_SERVERS = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<ServerId, ColdServer> servers = new LinkedHashMap<>();
    private final HostRanks ranks = new HostRanks(KnownHosts::possible);
    private final ColdBound bound;
    private final Quotas.Role role;
    private final Consumer<String> log;
    private Map<ServiceId, Pool> pools = Map.of();
    private double share = 1;

    ColdServers(ColdBound bound, Quotas.Role role, Consumer<String> log) {
        this.bound = bound;
        this.role = role;
        this.log = log;
    }

    void setPools(Map<ServiceId, Pool> newPools) {
        pools = newPools;
    }

    /** Sets the share of a primary, and the hosts among which fallbacks share. */
    void setShare(DispatchEvent.ShareChanged changed) {
        share = changed.quota();
        ranks.setHosts(changed.hosts());
    }

    /** Takes what a server stated of its warm-up. */
    void state(DispatchEvent.ServerCold stated, long nowNanos) {
        ColdServer recorded = servers.get(stated.server());
        boolean entry = stated.source() == DispatchEvent.ServerCold.Source.ENTRY;
        if (recorded != null && !entry && stated.startMillis() < recorded.startMillis()) {
            return;
        }
        ColdServer server = record(stated.server(), stated.startMillis());
        long statedNanos = nowNanos - Math.max(0, stated.ageMillis()) * NANOS_PER_MILLI;
        if (server.state(stated.leftMillis(), statedNanos, nowNanos)) {
            log.accept(
                    "event=server_cold server=%s start=%d left_ms=%d source=%s age_ms=%d"
                            .formatted(
                                    stated.server(),
                                    stated.startMillis(),
                                    server.leftMillis(nowNanos),
                                    stated.source(),
                                    stated.ageMillis()));
        }
    }

    private ColdServer record(ServerId id, long startMillis) {
        ColdServer recorded = servers.get(id);
        if (recorded != null && recorded.startMillis() == startMillis) {
            return recorded;
        }
        servers.remove(id);
        ColdServer created = new ColdServer(startMillis);
        servers.put(id, created);
        if (servers.size() > MAX_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
        return created;
    }

    /** Returns whether a server is cold now. */
    boolean isCold(PoolServer server, long nowNanos) {
        ColdServer recorded = servers.get(server.id());
        return recorded != null
                && recorded.startMillis() == server.startMillis()
                && recorded.isCold(nowNanos)
                && warmupPerSecond(server) > 0;
    }

    private double warmupPerSecond(PoolServer server) {
        Pool pool = pools.get(server.service());
        return pool == null ? 0 : pool.warmupPerSecond();
    }

    /** Returns whether a request may be sent now to a server. */
    boolean admits(PoolServer server, long nowNanos) {
        return !isCold(server, nowNanos)
                || servers.get(server.id()).admits(allotment(server), nowNanos);
    }

    /** Returns the requests per second that this scheduler may send to a cold server. */
    double perSecond(PoolServer server) {
        return allotment(server).perSecond();
    }

    /** Counts a request sent to a server. */
    void recordSent(PoolServer server, long nowNanos) {
        if (warmupPerSecond(server) <= 0) {
            return;
        }
        ColdServer recorded = record(server.id(), server.startMillis());
        if (recorded.isCold(nowNanos)) {
            recorded.recordSentCold(allotment(server), nowNanos);
        } else {
            recorded.recordSent(nowNanos);
        }
    }

    private ColdServer.Allotment allotment(PoolServer server) {
        double rate = warmupPerSecond(server);
        return switch (role) {
            case PRIMARY -> ofPrimary(share * bound.ofPrimaries(rate));
            case FALLBACK -> ofFallback(server.id(), bound.ofFallbacks(rate));
        };
    }

    /** A pace and a burst of one request add up to {@code whole} in any second. */
    private static ColdServer.Allotment ofPrimary(double whole) {
        return whole > 1
                ? new ColdServer.Allotment(whole - 1, (int) whole)
                : ColdServer.Allotment.NOTHING;
    }

    /**
     * A share of less than a request per second can't be granted without bursts that add up, so
     * that the part is given to as many hosts as it has whole requests, one per second to each.
     */
    private ColdServer.Allotment ofFallback(ServerId server, double whole) {
        KnownHosts hosts = ranks.hosts();
        double known =
                hosts.assumed() == 0 ? 0 : (double) hosts.possible().size() / hosts.assumed();
        int sharers = (int) (whole * Math.min(1, known));
        return sharers > 0 && ranks.of(server) < sharers
                ? new ColdServer.Allotment(1, 1)
                : ColdServer.Allotment.NOTHING;
    }

    /** Logs the servers whose cold state is over, and removes what is no longer needed. */
    void tick(long nowNanos) {
        servers.forEach(
                (id, server) -> {
                    if (server.endIfOver(nowNanos)) {
                        log.accept(
                                "event=server_warm server=%s start=%d"
                                        .formatted(id, server.startMillis()));
                    }
                });
        servers.values().removeIf(server -> server.isObsolete(nowNanos));
    }

    /** Returns the number of cold servers. */
    int count(long nowNanos) {
        return (int) servers.values().stream().filter(server -> server.isCold(nowNanos)).count();
    }
}

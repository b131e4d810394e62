package org.orioleshed.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** This host's share of the slots on the servers of plain services. */
final class ServiceSlots {
    /** How long a server is ranked lower after a failed call. */
    private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The score penalty for a server in another failure domain, in calls. */
    private static final int OTHER_DOMAIN_PENALTY_CALLS = 2;

    private final FailureDomain domain;
    private final RandomGenerator random;
    private final Map<ServerId, Integer> callsByServer = new HashMap<>();
    private final Map<ServerId, Long> avoidUntilNanos = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    ServiceSlots(FailureDomain domain, RandomGenerator random) {
        this.domain = domain;
        this.random = random;
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
        avoidUntilNanos.keySet().retainAll(changed.servers().keySet());
    }

    /** Acquires a slot on the server with the lowest score, if any server has a free one. */
    Optional<ServerId> acquire(long nowNanos, Route route, Optional<VersionId> version) {
        BackendServer best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendServer server : fleet.serversOf(route.target())) {
            boolean fits = version.isEmpty() || version.get().equals(server.version());
            if (server.leaving() || !fits || calls(server.id()) >= slotShare(server)) {
                continue;
            }
            double score = score(nowNanos, server);
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        callsByServer.merge(best.id(), 1, Integer::sum);
        return Optional.of(best.id());
    }

    /** Returns whether any server can take a call on {@code route}, now or later. */
    boolean hasServer(Route route, Optional<VersionId> version) {
        return fleet.serversOf(route.target()).stream()
                .filter(server -> !server.leaving())
                .anyMatch(s -> version.isEmpty() || version.get().equals(s.version()));
    }

    /** Returns whether {@code server} accepts new calls. */
    boolean takesWork(ServerId server) {
        BackendServer current = fleet.servers().get(server);
        return current != null && !current.leaving();
    }

    /** Releases a slot. */
    void release(ServerId server) {
        callsByServer.computeIfPresent(server, (s, calls) -> calls > 1 ? calls - 1 : null);
    }

    /** Ranks {@code server} lower for a while. */
    void avoid(long nowNanos, ServerId server) {
        avoidUntilNanos.put(server, nowNanos + AVOIDANCE_NANOS);
    }

    private double score(long nowNanos, BackendServer server) {
        double score = calls(server.id()) + random.nextDouble();
        if (!server.domain().equals(domain)) {
            score += OTHER_DOMAIN_PENALTY_CALLS;
        }
        if (avoidUntilNanos.getOrDefault(server.id(), Long.MIN_VALUE) > nowNanos) {
            score += server.slots();
        }
        return score;
    }

    private int calls(ServerId server) {
        return callsByServer.getOrDefault(server, 0);
    }

    /** Returns how many of a server's slots this host may use: its even share and one more. */
    private int slotShare(BackendServer server) {
        long hosts = fleet.hosts().values().stream().filter(EntryHost::takesWork).count();
        return (int) Math.min(server.slots(), server.slots() / Math.max(1, hosts) + 1);
    }
}

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

/** This host's share of the places on the servers of plain services. */
final class ServicePlaces {
    /** How long a server that could not be reached is chosen last. */
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** What a server in another failure domain counts, in calls under way. */
    private static final int FAR_CALLS = 2;

    private final FailureDomain domain;
    private final RandomGenerator random;
    private final Map<ServerId, Integer> underWay = new HashMap<>();
    private final Map<ServerId, Long> avoidUntilNanos = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    ServicePlaces(FailureDomain domain, RandomGenerator random) {
        this.domain = domain;
        this.random = random;
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
        avoidUntilNanos.keySet().retainAll(changed.servers().keySet());
    }

    /** Takes a place on the server with the fewest calls, if any has a free one. */
    Optional<ServerId> take(long nowNanos, Route route, Optional<VersionId> version) {
        BackendServer best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendServer server : fleet.serversOf(route.target())) {
            boolean fits = version.isEmpty() || version.get().equals(server.version());
            if (server.leaving() || !fits || calls(server.id()) >= share(server)) {
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
        underWay.merge(best.id(), 1, Integer::sum);
        return Optional.of(best.id());
    }

    /** Returns whether any server could take a call on {@code route}, now or later. */
    boolean hasServer(Route route, Optional<VersionId> version) {
        return fleet.serversOf(route.target()).stream()
                .filter(server -> !server.leaving())
                .anyMatch(s -> version.isEmpty() || version.get().equals(s.version()));
    }

    /** Returns whether {@code server} may still be given a call. */
    boolean takesWork(ServerId server) {
        BackendServer known = fleet.servers().get(server);
        return known != null && !known.leaving();
    }

    /** Gives a place back. */
    void release(ServerId server) {
        underWay.computeIfPresent(server, (s, calls) -> calls > 1 ? calls - 1 : null);
    }

    /** Chooses {@code server} last for a while. */
    void avoid(long nowNanos, ServerId server) {
        avoidUntilNanos.put(server, nowNanos + AVOID_NANOS);
    }

    private double score(long nowNanos, BackendServer server) {
        double score = calls(server.id()) + random.nextDouble();
        if (!server.domain().equals(domain)) {
            score += FAR_CALLS;
        }
        if (avoidUntilNanos.getOrDefault(server.id(), Long.MIN_VALUE) > nowNanos) {
            score += server.slots();
        }
        return score;
    }

    private int calls(ServerId server) {
        return underWay.getOrDefault(server, 0);
    }

    /** Returns how many of a server's places this host may use: its even share and one more. */
    private int share(BackendServer server) {
        long hosts = fleet.hosts().values().stream().filter(EntryHost::takesWork).count();
        return (int) Math.min(server.slots(), server.slots() / Math.max(1, hosts) + 1);
    }
}

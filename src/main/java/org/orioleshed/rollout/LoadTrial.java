package org.orioleshed.rollout;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * Schedules bursts that put a new version under load with few requests. Hosts take turns at sending
 * a higher share of their requests to a single server, while the share of all requests stays at
 * that of the step. Turns become shorter and their share higher until the server is loaded like
 * those of the old version.
 */
final class LoadTrial {
    /** The evidence under load that ends the trial. */
    static final double REQUIRED_PROOF = 5;

    private static final long TURN_MILLIS = 4_000;
    private static final int ROUNDS_PER_LEVEL = 2;
    private static final int MAX_LEVEL = 12;

    private final HostId self;
    private final RolloutLimits limits;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private int hostCount = 1;

    /** The index of this host among all hosts, sorted by id. */
    private int hostIndex;

    LoadTrial(HostId self, RolloutLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Returns the new version's current share of requests on this host.
     *
     * @param trialNanos the time since the step began, in nanoseconds
     * @param average the share of the requests of all hosts
     */
    double share(long trialNanos, long epochMillis, FleetSnapshot snapshot, double average) {
        updateFleet(snapshot);
        double baseShare = baseShare(average);
        return isMyTurn(trialNanos, epochMillis, snapshot, average)
                ? burstShare(trialNanos, average - baseShare)
                : baseShare;
    }

    /** Returns whether it is the turn of this host to send the higher share. */
    boolean isMyTurn(long trialNanos, long epochMillis, FleetSnapshot snapshot, double average) {
        updateFleet(snapshot);
        double spareShare = average - baseShare(average);
        double roundMillis = (double) TURN_MILLIS * hostCount;
        double turnMillis = roundMillis * spareShare / burstShare(trialNanos, spareShare);
        double startMillis = (double) TURN_MILLIS * hostIndex;
        double sinceStartMillis =
                (epochMillis % roundMillis + roundMillis - startMillis) % roundMillis;
        return sinceStartMillis < turnMillis;
    }

    /** Returns the share between turns. */
    private double baseShare(double average) {
        return Math.min(limits.shares().get(0), average / 2);
    }

    /**
     * Returns the share during a turn: at first the spare shares of all hosts together, doubled at
     * each level up to 1.
     */
    private double burstShare(long trialNanos, double spareShare) {
        long levelNanos = ROUNDS_PER_LEVEL * TURN_MILLIS * RolloutCore.NANOS_PER_MILLI * hostCount;
        long level = Math.min(MAX_LEVEL, trialNanos / levelNanos);
        return Math.min(1, spareShare * hostCount * (1L << level));
    }

    private void updateFleet(FleetSnapshot snapshot) {
        if (snapshot.equals(fleet)) {
            return;
        }
        fleet = snapshot;
        SortedSet<HostId> ids = new TreeSet<>(snapshot.hosts().keySet());
        ids.add(self);
        hostCount = ids.size();
        hostIndex = ids.headSet(self).size();
    }

    /** Returns all of {@code servers} except one, which lies in {@code domain} if any does. */
    Set<ServerId> heldBack(List<BackendServer> servers, FailureDomain domain) {
        Optional<BackendServer> loaded =
                servers.stream()
                        .min(
                                Comparator.comparing(
                                                (BackendServer server) ->
                                                        !server.domain().equals(domain))
                                        .thenComparing(BackendServer::id));
        Set<ServerId> others = new HashSet<>();
        servers.forEach(server -> others.add(server.id()));
        loaded.ifPresent(server -> others.remove(server.id()));
        return others;
    }
}

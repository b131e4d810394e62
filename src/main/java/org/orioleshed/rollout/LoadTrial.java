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
 * Shows a new version under load with few requests: hosts take turns at sending more of theirs, all
 * to one server, while the share of all requests stays at the step's. Turns get shorter and
 * stronger until the server is loaded as the old version's are.
 */
final class LoadTrial {
    /** The evidence under load that ends the trial. */
    static final double PROOF = 5;

    private static final long TURN_MILLIS = 4_000;
    private static final int ROUNDS_PER_LEVEL = 2;
    private static final int MAX_LEVEL = 12;

    private final HostId self;
    private final RolloutLimits limits;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private int hosts = 1;

    /** The place of this host among all, by id. */
    private int place;

    LoadTrial(HostId self, RolloutLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Returns the share on this host now.
     *
     * @param trialNanos the time since the step began
     * @param average the share that all requests together may reach
     */
    double share(long trialNanos, long epochMillis, FleetSnapshot now, double average) {
        learn(now);
        double base = base(average);
        return isMyTurn(trialNanos, epochMillis, now, average)
                ? strength(trialNanos, average - base)
                : base;
    }

    /** Returns whether this host sends more now. */
    boolean isMyTurn(long trialNanos, long epochMillis, FleetSnapshot now, double average) {
        learn(now);
        double spare = average - base(average);
        double roundMillis = (double) TURN_MILLIS * hosts;
        double turnMillis = roundMillis * spare / strength(trialNanos, spare);
        double startMillis = (double) TURN_MILLIS * place;
        double sinceStartMillis =
                (epochMillis % roundMillis + roundMillis - startMillis) % roundMillis;
        return sinceStartMillis < turnMillis;
    }

    /** The share between turns. */
    private double base(double average) {
        return Math.min(limits.shares().get(0), average / 2);
    }

    /** The share during a turn: what all hosts may send, by one, then twice that and so on. */
    private double strength(long trialNanos, double spare) {
        long levelNanos = ROUNDS_PER_LEVEL * TURN_MILLIS * RolloutCore.NANOS_PER_MILLI * hosts;
        long level = Math.min(MAX_LEVEL, trialNanos / levelNanos);
        return Math.min(1, spare * hosts * (1L << level));
    }

    private void learn(FleetSnapshot now) {
        if (now.equals(fleet)) {
            return;
        }
        fleet = now;
        SortedSet<HostId> all = new TreeSet<>(now.hosts().keySet());
        all.add(self);
        hosts = all.size();
        place = all.headSet(self).size();
    }

    /** Returns all of {@code servers} but one, which lies in {@code domain} if any does. */
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

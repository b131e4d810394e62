package org.orioleshed.move;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.World;
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
    private final MoveLimits limits;

    LoadTrial(HostId self, MoveLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Returns the share on this host now.
     *
     * @param trialNanos the time since the step began
     * @param average the share that all requests together may reach
     */
    double share(long trialNanos, long epochMillis, World world, double average) {
        double base = Math.min(limits.shares().get(0), average / 2);
        if (!isMyTurn(trialNanos, epochMillis, world, average)) {
            return base;
        }
        return strength(trialNanos, hosts(world), average - base);
    }

    /** Returns whether this host sends more now. */
    boolean isMyTurn(long trialNanos, long epochMillis, World world, double average) {
        SortedSet<HostId> hosts = hosts(world);
        double spare = average - Math.min(limits.shares().get(0), average / 2);
        double roundMillis = (double) TURN_MILLIS * hosts.size();
        double turnMillis = roundMillis * spare / strength(trialNanos, hosts, spare);
        double startMillis = (double) TURN_MILLIS * hosts.headSet(self).size();
        double phaseMillis = epochMillis % roundMillis;
        return phaseMillis >= startMillis
                && phaseMillis < startMillis + Math.min(turnMillis, TURN_MILLIS);
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

    /** The share during a turn: what all hosts may send, by one, then twice that and so on. */
    private static double strength(long trialNanos, SortedSet<HostId> hosts, double spare) {
        long levelNanos = ROUNDS_PER_LEVEL * TURN_MILLIS * MoveCore.NANOS_PER_MILLI * hosts.size();
        long level = Math.min(MAX_LEVEL, trialNanos / levelNanos);
        return Math.min(1, spare * hosts.size() * (1L << level));
    }

    private SortedSet<HostId> hosts(World world) {
        SortedSet<HostId> hosts = new TreeSet<>(world.hosts().keySet());
        hosts.add(self);
        return hosts;
    }
}

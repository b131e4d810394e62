package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RolloutId;

/**
 * Says when this host should try to become a rollout's coordinator, and which hosts list the
 * rollouts. The order of hosts differs by move, by rendezvous hashing; it only saves calls of the
 * store, for the lease decides.
 */
final class CoordinatorTurn {
    private static final long SILENCE_NANOS = 2_000_000_000L;
    private static final long PER_RANK_NANOS = 1_500_000_000L;

    /** Hosts further back in the order never try, so that calls do not grow with the fleet. */
    private static final int MOST_TRYING = 8;

    private static final int LISTING_PER_DOMAIN = 2;

    /** Starts with a slash, which no move's name contains. */
    private static final String LISTING = "/listing/";

    private final HostId self;
    private final Map<RolloutId, Long> heardNanos = new HashMap<>();
    private final Map<String, Integer> ranks = new HashMap<>();
    private List<EntryHost> hosts = List.of();
    private boolean leaving;

    CoordinatorTurn(HostId self) {
        this.self = self;
    }

    void changeHosts(FleetSnapshot fleet) {
        hosts = fleet.hosts().values().stream().filter(EntryHost::takesWork).toList();
        EntryHost own = fleet.hosts().get(self);
        leaving = own != null && own.state() == EntryHost.State.LEAVING;
        ranks.clear();
    }

    /** A rollout was seen for the first time; the first in the order may try at once. */
    void rolloutObserved(RolloutId rollout, long nowNanos) {
        heardNanos.putIfAbsent(rollout, nowNanos - SILENCE_NANOS);
    }

    /** Another host is the coordinator. */
    void coordinatorObserved(RolloutId rollout, long nowNanos) {
        heardNanos.put(rollout, nowNanos);
    }

    /**
     * Returns whether this host should try now, no other coordinator having been heard of for long.
     * A host that leaves would take its lease along, and the rollout would stand until that ran
     * out.
     */
    boolean isMine(RolloutId rollout, long nowNanos) {
        if (leaving) {
            return false;
        }
        int rank = ranks.computeIfAbsent(rollout.value(), name -> rank(name, ids(null)));
        if (rank >= MOST_TRYING) {
            return false;
        }
        long silenceNanos = SILENCE_NANOS + rank * PER_RANK_NANOS;
        return nowNanos - heardNanos.getOrDefault(rollout, nowNanos) >= silenceNanos;
    }

    /** Returns whether this host is one of those of its domain that list the rollouts. */
    boolean lists(FailureDomain domain) {
        String name = LISTING + domain;
        return ranks.computeIfAbsent(name, key -> rank(key, ids(domain))) < LISTING_PER_DOMAIN;
    }

    private List<HostId> ids(FailureDomain only) {
        List<HostId> ids = new ArrayList<>();
        for (EntryHost host : hosts) {
            if (only == null || host.domain().equals(only)) {
                ids.add(host.id());
            }
        }
        if (!ids.contains(self)) {
            ids.add(self);
        }
        return ids;
    }

    private int rank(String name, List<HostId> ids) {
        return Rendezvous.ranked(ids, name).indexOf(self);
    }
}

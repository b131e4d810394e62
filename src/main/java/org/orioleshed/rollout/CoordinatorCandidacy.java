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
 * Decides when this host tries to become a rollout's coordinator, and which hosts list the
 * rollouts. Hosts are ranked per rollout by rendezvous hashing. The ranking only reduces calls to
 * the store; the lease ensures that there is one coordinator.
 */
final class CoordinatorCandidacy {
    private static final long COORDINATOR_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long DELAY_PER_RANK_NANOS = 1_500_000_000L;

    /** Hosts of higher rank never try, so that store calls do not grow with the fleet. */
    private static final int MAX_CANDIDATES = 8;

    private static final int LISTING_HOSTS_PER_DOMAIN = 2;

    /** Starts with a slash, which no rollout id contains. */
    private static final String LISTING_KEY_PREFIX = "/listing/";

    private final HostId self;
    private final Map<RolloutId, Long> lastCoordinatorNanos = new HashMap<>();
    private final Map<String, Integer> ranks = new HashMap<>();
    private List<EntryHost> hosts = List.of();
    private boolean leaving;

    CoordinatorCandidacy(HostId self) {
        this.self = self;
    }

    void changeHosts(FleetSnapshot fleet) {
        hosts = fleet.hosts().values().stream().filter(EntryHost::takesWork).toList();
        EntryHost own = fleet.hosts().get(self);
        leaving = own != null && own.state() == EntryHost.State.LEAVING;
        ranks.clear();
    }

    /** Records a new rollout. The host of rank 0 may try at once. */
    void rolloutObserved(RolloutId rollout, long nowNanos) {
        lastCoordinatorNanos.putIfAbsent(rollout, nowNanos - COORDINATOR_TIMEOUT_NANOS);
    }

    /** Records that another host is the coordinator. */
    void coordinatorObserved(RolloutId rollout, long nowNanos) {
        lastCoordinatorNanos.put(rollout, nowNanos);
    }

    /**
     * Returns whether this host should try now because no coordinator was observed for a time that
     * grows with its rank. A leaving host never tries: it would stop while holding the lease, and
     * the rollout would stall until the lease expires.
     */
    boolean shouldTry(RolloutId rollout, long nowNanos) {
        if (leaving) {
            return false;
        }
        int rank = ranks.computeIfAbsent(rollout.value(), name -> rank(name, candidates(null)));
        if (rank >= MAX_CANDIDATES) {
            return false;
        }
        long waitNanos = COORDINATOR_TIMEOUT_NANOS + rank * DELAY_PER_RANK_NANOS;
        return nowNanos - lastCoordinatorNanos.getOrDefault(rollout, nowNanos) >= waitNanos;
    }

    /** Returns whether this host is one of those in its domain that list the rollouts. */
    boolean listsRollouts(FailureDomain domain) {
        String name = LISTING_KEY_PREFIX + domain;
        return ranks.computeIfAbsent(name, key -> rank(key, candidates(domain)))
                < LISTING_HOSTS_PER_DOMAIN;
    }

    private List<HostId> candidates(FailureDomain only) {
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

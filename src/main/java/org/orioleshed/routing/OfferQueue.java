package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.orioleshed.model.RunId;
import org.orioleshed.model.WorkspaceId;

/**
 * The offers that wait for one backend server, by tier. Under {@link Policy#NAIVE} all offers are
 * in a single tier, first in, first out.
 */
final class OfferQueue {
    private final Policy policy;
    private final NavigableMap<Integer, FairQueue> tiers = new TreeMap<>();
    private final Map<RunId, WaitingOffer> byRun = new HashMap<>();

    OfferQueue(Policy policy) {
        this.policy = policy;
    }

    int size() {
        return byRun.size();
    }

    int size(int rank) {
        FairQueue tier = tiers.get(rank);
        return tier == null ? 0 : tier.size();
    }

    Optional<WaitingOffer> get(RunId run) {
        return Optional.ofNullable(byRun.get(run));
    }

    Collection<WaitingOffer> all() {
        return Collections.unmodifiableCollection(byRun.values());
    }

    void add(WaitingOffer waiting, int weight) {
        if (byRun.putIfAbsent(waiting.run(), waiting) == null) {
            tiers.computeIfAbsent(rankOf(waiting), rank -> new FairQueue(order()))
                    .add(waiting, weight);
        }
    }

    Optional<WaitingOffer> remove(RunId run) {
        WaitingOffer waiting = byRun.remove(run);
        if (waiting != null) {
            tiers.get(rankOf(waiting)).remove(waiting);
        }
        return Optional.ofNullable(waiting);
    }

    /** Removes an offer that is granted a slot, and charges its workspace. */
    void take(WaitingOffer waiting) {
        tiers.get(rankOf(waiting)).take(waiting);
        byRun.remove(waiting.run());
    }

    /** Refunds the charge of {@link #take} for a slot that was not used. */
    void refund(WaitingOffer waiting) {
        FairQueue tier = tiers.get(rankOf(waiting));
        if (tier != null) {
            tier.refund(waiting);
        }
    }

    /** Returns the ranks of the tiers with waiting offers, the most urgent first. */
    List<Integer> ranks() {
        List<Integer> ranks = new ArrayList<>();
        tiers.forEach(
                (rank, tier) -> {
                    if (tier.size() > 0) {
                        ranks.add(rank);
                    }
                });
        return ranks;
    }

    FairQueue tier(int rank) {
        return tiers.computeIfAbsent(rank, r -> new FairQueue(order()));
    }

    /**
     * Returns the last offer of the least urgent tier, if that tier is less urgent than {@code
     * rank}.
     */
    Optional<WaitingOffer> leastUrgentBelow(int rank) {
        return ranks().reversed().stream()
                .filter(lower -> lower > rank)
                .findFirst()
                .flatMap(lower -> tiers.get(lower).latest());
    }

    /** Returns the expected work of the tiers up to {@code rank}, in milliseconds. */
    long workMillisUpTo(int rank) {
        return tiers.headMap(rank, true).values().stream().mapToLong(FairQueue::workMillis).sum();
    }

    /**
     * Returns the earliest offer of the most urgent tier, regardless of fair shares and patience
     * windows.
     */
    Optional<WaitingOffer> firstOfAll() {
        return ranks().stream().findFirst().flatMap(rank -> tiers.get(rank).earliest());
    }

    private int rankOf(WaitingOffer waiting) {
        return policy == Policy.NAIVE ? 0 : waiting.rank();
    }

    private Comparator<WaitingOffer> order() {
        return policy == Policy.NAIVE ? WaitingOffer.BY_QUEUED : WaitingOffer.BY_DEADLINE;
    }

    static boolean anyWorkspace(WorkspaceId workspace) {
        return workspace != null;
    }
}

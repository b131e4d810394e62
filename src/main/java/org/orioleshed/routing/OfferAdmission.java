package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RoutingMessage.Offer;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/**
 * Estimates the work of an offer on one backend server, and decides whether it may join the queue.
 */
final class OfferAdmission {
    private static final long MAX_REMAINING_MILLIS = 30L * 24 * 3_600_000;

    private final RoutingLimits limits;
    private final OfferQueue queue;
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final Preemption preemption;
    private final ServerRuns runs;
    private final Refusals refusals;

    OfferAdmission(
            RoutingLimits limits,
            OfferQueue queue,
            PrefixIndex prefixes,
            ServerSpeed speed,
            Preemption preemption,
            ServerRuns runs,
            Refusals refusals) {
        this.limits = limits;
        this.queue = queue;
        this.prefixes = prefixes;
        this.speed = speed;
        this.preemption = preemption;
        this.runs = runs;
        this.refusals = refusals;
    }

    /** Returns the queue entry for an offer, with its estimated work. */
    WaitingOffer waiting(DecisionContext context, HostId from, RunId run, Offer offer) {
        long now = context.nowNanos();
        long remainingMillis = Math.clamp(offer.remainingMillis(), -1, MAX_REMAINING_MILLIS);
        long ageMillis = Math.clamp(offer.ageMillis(), 0, MAX_REMAINING_MILLIS);
        int uncached = prefixes.uncachedTokens(offer);
        return new WaitingOffer(
                run,
                from,
                offer,
                now + remainingMillis * DecisionContext.NANOS_PER_MILLI,
                now - ageMillis * DecisionContext.NANOS_PER_MILLI,
                now,
                uncached,
                speed.workMillis(offer, uncached),
                speed.safeWorkMillis(offer, uncached));
    }

    /**
     * Returns why an offer is refused; empty when its deadline has not passed and the queue has
     * room.
     */
    Optional<RefusalReason> refusal(DecisionContext context, WaitingOffer waiting) {
        boolean late = waiting.deadlineNanos() - context.nowNanos() <= 0;
        return late || !hasRoom(context, waiting)
                ? Optional.of(RefusalReason.OVERLOAD)
                : Optional.empty();
    }

    /**
     * Makes room in a full queue: refuses a waiting offer of a lower tier, or else preempts the
     * runs of lower tiers.
     */
    private boolean hasRoom(DecisionContext context, WaitingOffer waiting) {
        if (queue.size() < limits.queueLength()) {
            return true;
        }
        if (limits.policy() == Policy.NAIVE) {
            return false;
        }
        Optional<WaitingOffer> lowerTier = queue.leastUrgentBelow(waiting.rank());
        if (lowerTier.isPresent()) {
            queue.remove(lowerTier.get().run());
            refusals.refuse(context, lowerTier.get(), RefusalReason.OVERLOAD);
            return true;
        }
        // Each preempted run makes room for one more offer, so the queue stays bounded.
        List<EngineRun> below = preemption.allBelow(waiting.rank());
        below.forEach(run -> runs.preempt(context.nowNanos(), run, "queue-full"));
        return !below.isEmpty();
    }
}

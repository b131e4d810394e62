package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RoutingMessage.Offer;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Estimates what an offer asks of one backend server, and decides whether it may wait there. */
final class OfferIntake {
    private static final long LONGEST_REMAINING_MILLIS = 30L * 24 * 3_600_000;

    private final RoutingLimits limits;
    private final OfferQueue queue;
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final Preemption preemption;
    private final ServerRuns runs;
    private final Refusals refusals;

    OfferIntake(
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

    /** Returns an offer as it would wait here. */
    Waiting waiting(Moment moment, HostId from, RunId run, Offer offer) {
        long now = moment.nowNanos();
        long remainingMillis = Math.clamp(offer.remainingMillis(), -1, LONGEST_REMAINING_MILLIS);
        long ageMillis = Math.clamp(offer.ageMillis(), 0, LONGEST_REMAINING_MILLIS);
        int uncached = prefixes.uncachedTokens(offer);
        return new Waiting(
                run,
                from,
                offer,
                now + remainingMillis * Moment.NANOS_PER_MILLI,
                now - ageMillis * Moment.NANOS_PER_MILLI,
                now,
                uncached,
                speed.workMillis(offer, uncached),
                speed.safeWorkMillis(offer, uncached));
    }

    /** Returns why an offer may not wait; empty when there is time and room for it. */
    Optional<RefusalReason> refusal(Moment moment, Waiting waiting) {
        boolean late = waiting.deadlineNanos() - moment.nowNanos() <= 0;
        return late || !hasRoom(moment, waiting)
                ? Optional.of(RefusalReason.OVERLOAD)
                : Optional.empty();
    }

    /** Makes room in a full queue at the cost of lower tiers, as far as there are any. */
    private boolean hasRoom(Moment moment, Waiting waiting) {
        if (queue.size() < limits.queueLength()) {
            return true;
        }
        if (limits.policy() == Policy.NAIVE) {
            return false;
        }
        Optional<Waiting> yielding = queue.leastUrgentBelow(waiting.rank());
        if (yielding.isPresent()) {
            queue.remove(yielding.get().run());
            refusals.refuse(moment, yielding.get(), RefusalReason.OVERLOAD);
            return true;
        }
        // Each run that yields makes room for one more, so the queue stays bounded.
        List<Running> below = preemption.allBelow(waiting.rank());
        below.forEach(run -> runs.preempt(moment.nowNanos(), run, "queue-full"));
        return !below.isEmpty();
    }
}

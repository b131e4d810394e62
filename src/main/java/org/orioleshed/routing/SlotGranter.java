package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Gives the places of one backend server to the offers whose turn it is. */
final class SlotGranter {
    /** While others wait, a run starts only with so many times its expected time left. */
    private static final double MIN_TIME_RATIO = 1.3;

    /** While none waits, a run starts also when it may yet be shorter than expected. */
    private static final double MIN_TIME_RATIO_IDLE = 0.5;

    private final RoutingLimits limits;
    private final ServerId server;
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Slots slots;
    private final SlotScheduler scheduler;
    private final SlotLimit limit;
    private final Refusals refusals;

    SlotGranter(
            RoutingLimits limits,
            ServerId server,
            Outbox outbox,
            OfferQueue queue,
            Slots slots,
            SlotScheduler scheduler,
            SlotLimit limit,
            Refusals refusals) {
        this.limits = limits;
        this.server = server;
        this.outbox = outbox;
        this.queue = queue;
        this.slots = slots;
        this.scheduler = scheduler;
        this.limit = limit;
        this.refusals = refusals;
    }

    /** Gives all places that are free. */
    void grantAll(DecisionContext context) {
        Optional<WaitingOffer> next = next(context);
        while (next.isPresent()) {
            grantOrRefuse(context, next.get());
            next = next(context);
        }
    }

    private Optional<WaitingOffer> next(DecisionContext context) {
        return scheduler.take(context, limit.current(), limit.slots());
    }

    private void grantOrRefuse(DecisionContext context, WaitingOffer waiting) {
        if (isTooLate(context, waiting)) {
            scheduler.unused(waiting);
            refusals.refuse(context, waiting, RefusalReason.OVERLOAD);
            return;
        }
        long until =
                context.nowNanos() + limits.reservationMillis() * DecisionContext.NANOS_PER_MILLI;
        slots.reserve(waiting, until);
        outbox.sendGranted(waiting, server, limits.reservationMillis());
        long waitedMillis = -context.millisUntil(waiting.queuedNanos());
        String state = slots.inFlight() + "/" + limit.current() + "/" + queue.size();
        outbox.log(
                "grant",
                waiting.run(),
                waiting.offer().tier(),
                server,
                server + ":" + waitedMillis,
                "in-flight/limit/waiting=" + state);
    }

    /** Returns whether a run of a lower tier would not end in time; stricter if others wait. */
    private boolean isTooLate(DecisionContext context, WaitingOffer waiting) {
        double share = queue.size() > 0 ? MIN_TIME_RATIO : MIN_TIME_RATIO_IDLE;
        return limits.policy() == Policy.ORIOLESHED
                && waiting.rank() > 0
                && context.millisUntil(waiting.deadlineNanos()) < share * waiting.workMillis();
    }

    /** Tells a host again of the place that is kept for it. */
    void repeat(DecisionContext context, Slots.Reservation reservation) {
        long leftMillis = Math.max(0, context.millisUntil(reservation.untilNanos()));
        outbox.sendGranted(reservation.waiting(), server, leftMillis);
    }

    /** Frees the places that were kept for too long. */
    void expire(DecisionContext context) {
        for (Slots.Reservation reservation : List.copyOf(slots.reserved())) {
            if (reservation.untilNanos() - context.nowNanos() <= 0) {
                slots.release(reservation.waiting().run());
                scheduler.unused(reservation.waiting());
            }
        }
    }
}

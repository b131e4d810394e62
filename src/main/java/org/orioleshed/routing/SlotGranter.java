package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Grants the slots of one backend server to waiting offers in the scheduler's order. */
final class SlotGranter {
    /**
     * While other offers wait, a run starts only if the time left is at least this multiple of its
     * expected time.
     */
    private static final double MIN_TIME_RATIO = 1.3;

    /**
     * While no other offer waits, a run also starts if it would have to be shorter than expected.
     */
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

    /** Grants all free slots. */
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
            scheduler.refund(waiting);
            refusals.refuse(context, waiting, RefusalReason.OVERLOAD);
            return;
        }
        long untilNanos =
                context.nowNanos() + limits.reservationMillis() * DecisionContext.NANOS_PER_MILLI;
        slots.reserve(waiting, untilNanos);
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

    /**
     * Returns whether a run below the urgent tier is unlikely to end in time; stricter while other
     * offers wait.
     */
    private boolean isTooLate(DecisionContext context, WaitingOffer waiting) {
        double minRatio = queue.size() > 0 ? MIN_TIME_RATIO : MIN_TIME_RATIO_IDLE;
        return limits.policy() == Policy.ORIOLESHED
                && waiting.rank() > 0
                && context.millisUntil(waiting.deadlineNanos()) < minRatio * waiting.workMillis();
    }

    /** Sends the grant of an existing reservation again. */
    void resendGrant(DecisionContext context, Slots.Reservation reservation) {
        long leftMillis = Math.max(0, context.millisUntil(reservation.untilNanos()));
        outbox.sendGranted(reservation.waiting(), server, leftMillis);
    }

    /** Releases expired reservations. */
    void expire(DecisionContext context) {
        for (Slots.Reservation reservation : List.copyOf(slots.reserved())) {
            if (reservation.untilNanos() - context.nowNanos() <= 0) {
                slots.release(reservation.waiting().run());
                scheduler.refund(reservation.waiting());
            }
        }
    }
}

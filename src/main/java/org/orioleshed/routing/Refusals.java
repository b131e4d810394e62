package org.orioleshed.routing;

import java.util.List;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Refuses offers for one backend server, with the expected wait. */
final class Refusals {
    private final ServerId server;
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Slots slots;
    private final WaitEstimate waits;
    private final ServerBackoff backoff;
    private final SlotLimit limit;

    Refusals(
            ServerId server,
            Outbox outbox,
            OfferQueue queue,
            Slots slots,
            WaitEstimate waits,
            ServerBackoff backoff,
            SlotLimit limit) {
        this.server = server;
        this.outbox = outbox;
        this.queue = queue;
        this.slots = slots;
        this.waits = waits;
        this.backoff = backoff;
        this.limit = limit;
    }

    /** Refuses an offer that is not in the queue. */
    void refuse(DecisionContext context, WaitingOffer waiting, RefusalReason reason) {
        long now = context.nowNanos();
        long waitMillis =
                waits.millis(waiting.rank(), now, limit.current(), limit.slots())
                        + backoff.remainingMillis(now);
        outbox.sendRefused(
                waiting.from(),
                waiting.run(),
                waiting.offer().tier(),
                server,
                reason,
                hasLowerTier(waiting.rank()),
                waitMillis);
    }

    private boolean hasLowerTier(int rank) {
        return slots.holdsLowerTier(rank) || queue.leastUrgentBelow(rank).isPresent();
    }

    /** Refuses all waiting offers. */
    void refuseAll(DecisionContext context, RefusalReason reason) {
        for (WaitingOffer waiting : List.copyOf(queue.all())) {
            queue.remove(waiting.run());
            refuse(context, waiting, reason);
        }
    }

    /** Refuses waiting offers whose deadline has passed. */
    void refuseExpired(DecisionContext context) {
        for (WaitingOffer waiting : List.copyOf(queue.all())) {
            if (waiting.deadlineNanos() - context.nowNanos() <= 0) {
                queue.remove(waiting.run());
                refuse(context, waiting, RefusalReason.OVERLOAD);
            }
        }
    }
}

package org.orioleshed.routing;

import java.util.List;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Turns offers for one backend server down, and says how long the wait for it is. */
final class Refusals {
    private final ServerId server;
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Places places;
    private final WaitEstimate waits;
    private final HoldOff holdOff;
    private final PlaceLimit limit;

    Refusals(
            ServerId server,
            Outbox outbox,
            OfferQueue queue,
            Places places,
            WaitEstimate waits,
            HoldOff holdOff,
            PlaceLimit limit) {
        this.server = server;
        this.outbox = outbox;
        this.queue = queue;
        this.places = places;
        this.waits = waits;
        this.holdOff = holdOff;
        this.limit = limit;
    }

    /** Turns down an offer that is not in the queue. */
    void refuse(Moment moment, Waiting waiting, RefusalReason reason) {
        long now = moment.nowNanos();
        long waitMillis =
                waits.millis(waiting.rank(), now, limit.current(), limit.places())
                        + holdOff.remainingMillis(now);
        outbox.refused(
                waiting.from(),
                waiting.run(),
                waiting.offer().tier(),
                server,
                reason,
                lowerTierIsHere(waiting.rank()),
                waitMillis);
    }

    private boolean lowerTierIsHere(int rank) {
        return places.holdsBelow(rank) || queue.leastUrgentBelow(rank).isPresent();
    }

    /** Turns down all that waits. */
    void refuseAll(Moment moment, RefusalReason reason) {
        for (Waiting waiting : List.copyOf(queue.all())) {
            queue.remove(waiting.run());
            refuse(moment, waiting, reason);
        }
    }

    /** Turns down what waits past its deadline. */
    void refuseLate(Moment moment) {
        for (Waiting waiting : List.copyOf(queue.all())) {
            if (waiting.deadlineNanos() - moment.nowNanos() <= 0) {
                queue.remove(waiting.run());
                refuse(moment, waiting, RefusalReason.OVERLOAD);
            }
        }
    }
}

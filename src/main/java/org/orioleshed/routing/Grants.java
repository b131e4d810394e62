package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/** Gives the places of one backend server to the offers whose turn it is. */
final class Grants {
    /** While others wait, a run starts only with so many times its expected time left. */
    private static final double STARTS_IN_TIME = 1.3;

    /** While none waits, a run starts also when it may yet be shorter than expected. */
    private static final double STARTS_ALONE = 0.5;

    private final RoutingLimits limits;
    private final ServerId server;
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Places places;
    private final Admission admission;
    private final PlaceLimit limit;
    private final Refusals refusals;

    Grants(
            RoutingLimits limits,
            ServerId server,
            Outbox outbox,
            OfferQueue queue,
            Places places,
            Admission admission,
            PlaceLimit limit,
            Refusals refusals) {
        this.limits = limits;
        this.server = server;
        this.outbox = outbox;
        this.queue = queue;
        this.places = places;
        this.admission = admission;
        this.limit = limit;
        this.refusals = refusals;
    }

    /** Gives all places that are free. */
    void giveAll(Moment moment) {
        Optional<Waiting> next = next(moment);
        while (next.isPresent()) {
            grantOrRefuse(moment, next.get());
            next = next(moment);
        }
    }

    private Optional<Waiting> next(Moment moment) {
        return admission.take(moment, limit.current(), limit.places());
    }

    private void grantOrRefuse(Moment moment, Waiting waiting) {
        if (isTooLate(moment, waiting)) {
            admission.unused(waiting);
            refusals.refuse(moment, waiting, RefusalReason.OVERLOAD);
            return;
        }
        long until = moment.nowNanos() + limits.reservationMillis() * Moment.NANOS_PER_MILLI;
        places.reserve(waiting, until);
        outbox.granted(waiting, server, limits.reservationMillis());
        long waitedMillis = -moment.millisUntil(waiting.queuedNanos());
        String state = places.inFlight() + "/" + limit.current() + "/" + queue.size();
        outbox.log(
                "grant",
                waiting.run(),
                waiting.offer().tier(),
                server,
                server + ":" + waitedMillis,
                "in-flight/limit/waiting=" + state);
    }

    /** Returns whether a run of a lower tier would not end in time; stricter if others wait. */
    private boolean isTooLate(Moment moment, Waiting waiting) {
        double share = queue.size() > 0 ? STARTS_IN_TIME : STARTS_ALONE;
        return limits.policy() == Policy.ORIOLESHED
                && waiting.rank() > 0
                && moment.millisUntil(waiting.deadlineNanos()) < share * waiting.workMillis();
    }

    /** Tells a host again of the place that is kept for it. */
    void repeat(Moment moment, Places.Reservation reservation) {
        long leftMillis = Math.max(0, moment.millisUntil(reservation.untilNanos()));
        outbox.granted(reservation.waiting(), server, leftMillis);
    }

    /** Frees the places that were kept for too long. */
    void expire(Moment moment) {
        for (Places.Reservation reservation : List.copyOf(places.reserved())) {
            if (reservation.untilNanos() - moment.nowNanos() <= 0) {
                places.release(reservation.waiting().run());
                admission.unused(reservation.waiting());
            }
        }
    }
}

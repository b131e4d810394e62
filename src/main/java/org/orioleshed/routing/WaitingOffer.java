package org.orioleshed.routing;

import java.util.Comparator;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * An offer that waits for a slot, or for its request body once a slot is reserved.
 *
 * @param run the run
 * @param from the host that accepted the request
 * @param offer the description of the request
 * @param deadlineNanos the caller's deadline on this host's monotonic clock
 * @param arrivedNanos when the request first arrived at any host, on this host's monotonic clock
 * @param queuedNanos when the offer arrived at this owner, on this host's monotonic clock
 * @param uncachedTokens the tokens of the prompt that are not expected in the server's prefix cache
 * @param workMillis the expected duration of the run, in milliseconds
 * @param safeMillis the duration of the run at the 90th percentile of the answer length, in
 *     milliseconds
 */
record WaitingOffer(
        RunId run,
        HostId from,
        Offer offer,
        long deadlineNanos,
        long arrivedNanos,
        long queuedNanos,
        int uncachedTokens,
        long workMillis,
        long safeMillis) {
    private static final Comparator<RequestId> BY_REQUEST =
            Comparator.comparing(RequestId::host)
                    .thenComparingLong(RequestId::incarnation)
                    .thenComparingLong(RequestId::sequence);

    /** A total order by run, to break ties. */
    static final Comparator<RunId> BY_RUN =
            Comparator.comparing(RunId::request, BY_REQUEST).thenComparingInt(RunId::attempt);

    /** Earliest deadline first, then earliest arrival. */
    static final Comparator<WaitingOffer> BY_DEADLINE =
            Comparator.comparingLong(WaitingOffer::deadlineNanos)
                    .thenComparingLong(WaitingOffer::arrivedNanos)
                    .thenComparing(WaitingOffer::run, BY_RUN);

    /** First in, first out at this owner. */
    static final Comparator<WaitingOffer> BY_QUEUED =
            Comparator.comparingLong(WaitingOffer::queuedNanos)
                    .thenComparing(WaitingOffer::run, BY_RUN);

    int rank() {
        return offer.tier().rank();
    }
}

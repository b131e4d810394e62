package org.orioleshed.routing;

import java.util.Comparator;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * An offer that waits for a place, or for its body once a place is reserved.
 *
 * @param run the run
 * @param from the host that accepted the request
 * @param offer what is known of the request
 * @param deadlineNanos the caller's deadline on this host's clock
 * @param arrivedNanos when the request first arrived anywhere, on this host's clock
 * @param queuedNanos when the offer came in here
 * @param uncachedTokens tokens of the prompt that are not in the server's cache
 * @param workMillis how long the run is expected to take
 * @param safeMillis how long nine of ten runs like it take at most
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

    /** A total order by run, for ties. */
    static final Comparator<RunId> BY_RUN =
            Comparator.comparing(RunId::request, BY_REQUEST).thenComparingInt(RunId::attempt);

    /** The earliest deadline first, then the oldest. */
    static final Comparator<WaitingOffer> BY_DEADLINE =
            Comparator.comparingLong(WaitingOffer::deadlineNanos)
                    .thenComparingLong(WaitingOffer::arrivedNanos)
                    .thenComparing(WaitingOffer::run, BY_RUN);

    /** The first to come in here first. */
    static final Comparator<WaitingOffer> BY_QUEUED =
            Comparator.comparingLong(WaitingOffer::queuedNanos)
                    .thenComparing(WaitingOffer::run, BY_RUN);

    int rank() {
        return offer.tier().rank();
    }
}

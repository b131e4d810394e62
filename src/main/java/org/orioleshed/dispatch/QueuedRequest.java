package org.orioleshed.dispatch;

import java.util.Comparator;

/**
 * A request that is queued for a server.
 *
 * @param run the key of its run
 * @param request the placement request as of its arrival
 * @param sinceNanos when it arrived, on the monotonic clock
 * @param sequence increases with each request
 */
record QueuedRequest(RunKey run, PlacementRequest request, long sinceNanos, long sequence) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Orders by rank, then by target, then by arrival. */
    static final Comparator<QueuedRequest> URGENCY =
            Comparator.comparingInt((QueuedRequest queued) -> queued.request().rank())
                    .thenComparingLong(QueuedRequest::targetNanos)
                    .thenComparingLong(QueuedRequest::sequence);

    long targetNanos() {
        return sinceNanos + request.targetLeftMillis() * NANOS_PER_MILLI;
    }

    long deadlineNanos() {
        return sinceNanos + request.deadlineLeftMillis() * NANOS_PER_MILLI;
    }

    long waitedMillis(long nowNanos) {
        return (nowNanos - sinceNanos) / NANOS_PER_MILLI;
    }
}

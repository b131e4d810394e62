package org.orioleshed.dispatch;

import java.util.Comparator;

/**
 * A request that waits for a server.
 *
 * @param run its key
 * @param request what it needed when it came
 * @param sinceNanos when it came
 * @param order grows with each request
 */
record QueuedRequest(RunKey run, PlacementRequest request, long sinceNanos, long order) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The more urgent rank first, then the earlier target, then the earlier arrival. */
    static final Comparator<QueuedRequest> URGENCY =
            Comparator.comparingInt((QueuedRequest waiter) -> waiter.request().rank())
                    .thenComparingLong(QueuedRequest::targetNanos)
                    .thenComparingLong(QueuedRequest::order);

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

package org.orioleshed.dispatch;

import java.util.Comparator;

/**
 * A request that waits for a server.
 *
 * @param run its key
 * @param ask what it needed when it came
 * @param sinceNanos when it came
 * @param order grows with each request
 */
record Waiter(RunKey run, Ask ask, long sinceNanos, long order) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The more urgent rank first, then the earlier target, then the earlier arrival. */
    static final Comparator<Waiter> URGENCY =
            Comparator.comparingInt((Waiter waiter) -> waiter.ask().rank())
                    .thenComparingLong(Waiter::targetNanos)
                    .thenComparingLong(Waiter::order);

    long targetNanos() {
        return sinceNanos + ask.targetLeftMillis() * NANOS_PER_MILLI;
    }

    long deadlineNanos() {
        return sinceNanos + ask.deadlineLeftMillis() * NANOS_PER_MILLI;
    }

    long waitedMillis(long nowNanos) {
        return (nowNanos - sinceNanos) / NANOS_PER_MILLI;
    }
}

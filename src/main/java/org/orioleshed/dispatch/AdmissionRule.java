package org.orioleshed.dispatch;

import java.util.List;

/**
 * Decides whether a request may wait. Answers the load pattern of a burst beyond the servers: who
 * can't be served before much of its time is gone is told at once when to come back, and the others
 * are not delayed by it.
 */
final class AdmissionRule {
    /** Waiting longer than this part of the caller's time is as bad as being turned away. */
    private static final double MAX_WAIT_PART = 0.5;

    /** Callers come back after at most a third of their time; a little less meets that. */
    private static final double MAX_RETRY_PART = 0.3;

    private static final long LEAST_RETRY_MILLIS = 100;

    private final PoolState pool;
    private final int places;

    AdmissionRule(PoolState pool, int places) {
        this.pool = pool;
        this.places = places;
    }

    /** Returns how long a request of {@code rank} waits for those ahead, in milliseconds. */
    double waitMillis(int rank) {
        if (places == 0) {
            return Double.POSITIVE_INFINITY;
        }
        List<QueuedRequest> ahead =
                pool.waiters().stream().filter(waiter -> waiter.ask().rank() <= rank).toList();
        double busy = ahead.stream().mapToDouble(waiter -> pool.busyMillis(waiter.ask())).sum();
        return busy / places;
    }

    /** Returns whether a new request may wait. */
    boolean mayWait(Ask ask) {
        double wait = waitMillis(ask.rank());
        double needed = wait + pool.busyMillis(ask);
        return wait <= MAX_WAIT_PART * ask.deadlineLeftMillis()
                && needed <= ask.deadlineLeftMillis();
    }

    /** Returns whether a request that waits should go on waiting. */
    boolean mayGoOn(QueuedRequest waiter, long nowNanos) {
        long waited = waiter.waitedMillis(nowNanos);
        Ask ask = waiter.ask();
        return waited <= MAX_WAIT_PART * ask.deadlineLeftMillis()
                && waited + pool.busyMillis(ask) <= ask.deadlineLeftMillis();
    }

    /**
     * Returns when a caller that is turned away should come back, in milliseconds.
     *
     * @param ask what it needed
     * @param betterMillis when it would fare better
     */
    static long retryAfterMillis(Ask ask, double betterMillis) {
        double most = MAX_RETRY_PART * Math.max(0, ask.deadlineLeftMillis());
        return (long) Math.clamp(betterMillis, Math.min(LEAST_RETRY_MILLIS, most), most);
    }
}

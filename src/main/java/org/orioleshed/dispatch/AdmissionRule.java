package org.orioleshed.dispatch;

import java.util.ArrayList;
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

    /** A part of the places is thought to come free for each rank, however urgent others are. */
    private static final double LEAST_PART = 0.1;

    private final PoolState pool;
    private final double places;
    private final long nowNanos;

    AdmissionRule(PoolState pool, double places, long nowNanos) {
        this.pool = pool;
        this.places = places;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns how long a request of {@code rank} waits for those ahead, in milliseconds. More
     * urgent ones go on coming as they did in the last second, and take places first.
     */
    double waitMillis(int rank) {
        return waitMillis(ahead(rank), rank);
    }

    private double ahead(int rank) {
        return pool.waiters().stream()
                .map(QueuedRequest::request)
                .filter(request -> request.rank() <= rank)
                .mapToDouble(pool::busyMillis)
                .sum();
    }

    /** Returns how long it takes to do work in the places that ranks before another leave. */
    private double waitMillis(double aheadMillis, int before) {
        if (places == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double left = places - pool.load().placesBefore(before, nowNanos);
        return aheadMillis / Math.max(left, LEAST_PART * places);
    }

    /** Returns whether a new request may wait. */
    boolean mayWait(PlacementRequest request) {
        double ahead = ahead(request.rank());
        double wait = waitMillis(ahead, request.rank());
        if (wait > request.targetLeftMillis()) {
            // Those of its own rank that can still be in time go on coming, and go before it.
            wait = waitMillis(ahead, request.rank() + 1);
        }
        double needed = wait + pool.busyMillis(request);
        return wait <= MAX_WAIT_PART * request.deadlineLeftMillis()
                && needed <= request.deadlineLeftMillis();
    }

    /**
     * Returns the requests that should not go on waiting: their time is up, or they are late and
     * those before them leave no room.
     */
    List<QueuedRequest> hopeless() {
        List<QueuedRequest> result = new ArrayList<>();
        double ahead = 0;
        for (QueuedRequest waiter : pool.inOrder()) {
            if (mayGoOn(waiter, ahead)) {
                ahead += pool.busyMillis(waiter.request());
            } else {
                result.add(waiter);
            }
        }
        return result;
    }

    private boolean mayGoOn(QueuedRequest waiter, double ahead) {
        PlacementRequest request = waiter.request();
        long waited = waiter.waitedMillis(nowNanos);
        boolean late = waiter.targetNanos() < nowNanos;
        double more = late ? waitMillis(ahead, request.rank() + 1) : 0;
        return waited + more <= MAX_WAIT_PART * request.deadlineLeftMillis()
                && waited + pool.busyMillis(request) <= request.deadlineLeftMillis();
    }

    /**
     * Returns when a caller that is turned away should come back, in milliseconds.
     *
     * @param request what it needed
     * @param betterMillis when it would fare better
     */
    static long retryAfterMillis(PlacementRequest request, double betterMillis) {
        double most = MAX_RETRY_PART * Math.max(0, request.deadlineLeftMillis());
        return (long) Math.clamp(betterMillis, Math.min(LEAST_RETRY_MILLIS, most), most);
    }
}

package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether a request may be queued. In a burst that exceeds the capacity of the servers, a
 * request that can't be served before much of its time is used up is refused at once with a retry
 * time, so that it does not delay the others.
 */
final class AdmissionRule {
    /**
     * The longest useful wait as a fraction of the time left until the caller's deadline; a longer
     * one is as bad as a refusal.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;

    /** A caller is to retry after at most a third of its remaining time; this leaves a margin. */
    private static final double MAX_RETRY_FRACTION = 0.3;

    private static final long MIN_RETRY_MILLIS = 100;

    /**
     * The fraction of slots that each rank is assumed to get, whatever the load of more urgent
     * ranks.
     */
    private static final double MIN_SLOT_FRACTION = 0.1;

    private final PoolState pool;
    private final double slots;
    private final long nowNanos;

    AdmissionRule(PoolState pool, double slots, long nowNanos) {
        this.pool = pool;
        this.slots = slots;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns how long a request of {@code rank} waits for the requests ahead of it, in
     * milliseconds. Assumes that more urgent requests keep arriving at the rate of the last second
     * and are served first.
     */
    double waitMillis(int rank) {
        return waitMillis(pool.queuedRunMillis(rank), rank);
    }

    /**
     * Returns the time to finish the work ahead in the slots that ranks before {@code rank} leave
     * free.
     */
    private double waitMillis(double aheadMillis, int rank) {
        if (slots == 0) {
            return Double.POSITIVE_INFINITY;
        }
        return aheadMillis / freeSlots(rank);
    }

    private double freeSlots(int rank) {
        double freeSlots = slots - pool.load().slotsUsedBefore(rank, nowNanos);
        return Math.max(freeSlots, MIN_SLOT_FRACTION * slots);
    }

    /**
     * Returns when the caller of a refused request is to retry, in milliseconds from now, and
     * reserves the capacity for it.
     */
    double reserveRetryMillis(PlacementRequest request) {
        if (slots == 0) {
            return Double.POSITIVE_INFINITY;
        }
        int rank = request.rank();
        double maxMillis = MAX_RETRY_FRACTION * Math.max(0, request.deadlineLeftMillis());
        double expectedMillis = Math.max(MIN_RETRY_MILLIS, waitMillis(rank));
        double spacingMillis = pool.expectedRunMillis(request) / freeSlots(rank);
        return pool.retries().reserve(rank, expectedMillis, spacingMillis, maxMillis, nowNanos);
    }

    /** Returns the work of the queued requests that may be served before a new one. */
    private double aheadMillis(PlacementRequest request) {
        if (!pool.queue().restricts(request)) {
            return pool.queuedRunMillis(request.rank());
        }
        return pool.queue().all().stream()
                .map(QueuedRequest::request)
                .filter(queued -> queued.rank() <= request.rank())
                .filter(request::competesWith)
                .mapToDouble(pool::expectedRunMillis)
                .sum();
    }

    /** Returns whether a new request may be queued. */
    boolean mayQueue(PlacementRequest request) {
        double aheadMillis = aheadMillis(request);
        double waitMillis = waitMillis(aheadMillis, request.rank());
        if (waitMillis > request.targetLeftMillis()) {
            // Later requests of the same rank that can still meet their targets are served first.
            waitMillis = waitMillis(aheadMillis, request.rank() + 1);
        }
        double neededMillis = waitMillis + pool.expectedRunMillis(request);
        return waitMillis <= MAX_WAIT_FRACTION * request.deadlineLeftMillis()
                && neededMillis <= request.deadlineLeftMillis();
    }

    /**
     * Returns the queued requests to refuse: those whose time is used up, and late ones that can't
     * be served in time behind those ahead of them.
     */
    List<QueuedRequest> unservable() {
        List<QueuedRequest> result = new ArrayList<>();
        double aheadMillis = 0;
        RequestQueue.Cursor cursor = pool.queue().cursor();
        for (QueuedRequest queued = cursor.next(); queued != null; queued = cursor.next()) {
            if (mayKeepWaiting(queued, aheadMillis)) {
                aheadMillis += pool.expectedRunMillis(queued.request());
            } else {
                result.add(queued);
            }
        }
        return result;
    }

    private boolean mayKeepWaiting(QueuedRequest queued, double aheadMillis) {
        PlacementRequest request = queued.request();
        long waitedMillis = queued.waitedMillis(nowNanos);
        boolean late = queued.targetNanos() < nowNanos;
        double remainingMillis = late ? waitMillis(aheadMillis, request.rank() + 1) : 0;
        return waitedMillis + remainingMillis <= MAX_WAIT_FRACTION * request.deadlineLeftMillis()
                && waitedMillis + pool.expectedRunMillis(request) <= request.deadlineLeftMillis();
    }

    /**
     * Returns when a refused caller should retry, in milliseconds from now.
     *
     * @param request the refused request
     * @param expectedMillis when the request is expected to succeed, in milliseconds from now
     */
    static long retryAfterMillis(PlacementRequest request, double expectedMillis) {
        double maxMillis = MAX_RETRY_FRACTION * Math.max(0, request.deadlineLeftMillis());
        return (long) Math.clamp(expectedMillis, Math.min(MIN_RETRY_MILLIS, maxMillis), maxMillis);
    }
}

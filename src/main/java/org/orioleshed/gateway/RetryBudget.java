package org.orioleshed.gateway;

/**
 * A budget for retries at another server: a share of the first attempts in a sliding window, plus
 * this host's share of a fixed number. When servers fail together, unlimited retries would double
 * the load.
 */
final class RetryBudget {
    private static final int BUCKETS = 10;

    /** The usable part of the budget; the rest covers restarted hosts and uneven windows. */
    private static final double USABLE_PART = 0.75;

    private final double ratio;
    private final long bucketNanos;
    private final int[] attempts = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long bucket;

    /**
     * Creates an empty budget.
     *
     * @param ratio retries per first attempt
     * @param windowMillis the window, in milliseconds; positive
     */
    RetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.bucketNanos = windowMillis * 1_000_000 / BUCKETS;
    }

    void recordAttempt(long nowNanos) {
        attempts[advance(nowNanos)]++;
    }

    /**
     * Takes a retry from the budget.
     *
     * @return false if none is left
     * @param fixedShare this host's share of the fixed number of retries
     */
    boolean tryTake(double fixedShare, long nowNanos) {
        if (!hasRetry(fixedShare, nowNanos)) {
            return false;
        }
        retries[advance(nowNanos)]++;
        return true;
    }

    /**
     * Returns whether a retry is left.
     *
     * @param fixedShare this host's share of the fixed number of retries
     */
    boolean hasRetry(double fixedShare, long nowNanos) {
        var unused = advance(nowNanos);
        double allowed = (sum(attempts) * ratio + fixedShare) * USABLE_PART;
        return sum(retries) + 1 <= allowed;
    }

    private int advance(long nowNanos) {
        long current = Math.floorDiv(nowNanos, bucketNanos);
        if (current - bucket >= BUCKETS) {
            bucket = current - BUCKETS;
        }
        while (bucket < current) {
            bucket++;
            int index = (int) Math.floorMod(bucket, (long) BUCKETS);
            attempts[index] = 0;
            retries[index] = 0;
        }
        return (int) Math.floorMod(current, (long) BUCKETS);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}

package org.orioleshed.gateway;

/**
 * The budget for sending requests to a second server: a share of the first sends in a window, and
 * this host's part of a fixed number. Answers the load pattern of servers that fail together, when
 * retries would double the load.
 */
final class RetryWindow {
    private static final int BUCKETS = 10;

    /** What is kept back for hosts that start anew and for uneven windows. */
    private static final double SAFETY = 0.75;

    private final double ratio;
    private final long bucketNanos;
    private final int[] firsts = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long bucket;

    /**
     * Makes a budget.
     *
     * @param ratio retries for each first send
     * @param windowMillis the window, in milliseconds; positive
     */
    RetryWindow(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.bucketNanos = windowMillis * 1_000_000 / BUCKETS;
    }

    void first(long nowNanos) {
        firsts[turn(nowNanos)]++;
    }

    /**
     * Takes a retry; false when none is left.
     *
     * @param fixed this host's part of the fixed number
     */
    boolean take(double fixed, long nowNanos) {
        int index = turn(nowNanos);
        double allowed = (sum(firsts) * ratio + fixed) * SAFETY;
        if (sum(retries) + 1 > allowed) {
            return false;
        }
        retries[index]++;
        return true;
    }

    private int turn(long nowNanos) {
        long present = Math.floorDiv(nowNanos, bucketNanos);
        if (present - bucket >= BUCKETS) {
            bucket = present - BUCKETS;
        }
        while (bucket < present) {
            bucket++;
            int index = (int) Math.floorMod(bucket, (long) BUCKETS);
            firsts[index] = 0;
            retries[index] = 0;
        }
        return (int) Math.floorMod(present, (long) BUCKETS);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}

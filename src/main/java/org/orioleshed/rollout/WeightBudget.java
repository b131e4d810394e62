package org.orioleshed.rollout;

/** Limits the number and frequency of weight loads from the platform's weight store. */
final class WeightBudget {
    private final int maxLoads;
    private final long spacingNanos;
    private int runningLoads;
    private long lastStartNanos;
    private boolean started;

    /**
     * Creates a budget without running loads.
     *
     * @param maxLoads the maximum number of loads at once
     * @param spacingNanos the minimum time between two starts, in nanoseconds
     */
    WeightBudget(int maxLoads, long spacingNanos) {
        this.maxLoads = maxLoads;
        this.spacingNanos = spacingNanos;
    }

    /** Starts a load if the limits allow it. Returns whether it was started. */
    boolean tryStart(long nowNanos) {
        if (runningLoads >= maxLoads) {
            return false;
        }
        if (started && nowNanos - lastStartNanos < spacingNanos) {
            return false;
        }
        started = true;
        lastStartNanos = nowNanos;
        runningLoads++;
        return true;
    }

    /** Ends a load. */
    void finished() {
        if (runningLoads == 0) {
            throw new IllegalStateException("no load is running");
        }
        runningLoads--;
    }
}

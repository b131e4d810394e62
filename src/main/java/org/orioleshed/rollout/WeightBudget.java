package org.orioleshed.rollout;

/** Keeps loads of weights within what the platform's weight store allows. */
final class WeightBudget {
    private final int atOnce;
    private final long spacingNanos;
    private int loading;
    private long lastStartNanos;
    private boolean started;

    /**
     * Makes a budget with nothing loading.
     *
     * @param atOnce the most loads at once
     * @param spacingNanos the least time between two starts
     */
    WeightBudget(int atOnce, long spacingNanos) {
        this.atOnce = atOnce;
        this.spacingNanos = spacingNanos;
    }

    /** Takes a place for a load; false when none is free yet. */
    boolean tryStart(long nowNanos) {
        if (loading >= atOnce) {
            return false;
        }
        if (started && nowNanos - lastStartNanos < spacingNanos) {
            return false;
        }
        started = true;
        lastStartNanos = nowNanos;
        loading++;
        return true;
    }

    /** Gives a place back. */
    void finished() {
        if (loading == 0) {
            throw new IllegalStateException("nothing is loading");
        }
        loading--;
    }
}

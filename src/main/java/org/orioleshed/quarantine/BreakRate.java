package org.orioleshed.quarantine;

import java.util.concurrent.TimeUnit;

/** How often runs break at their beginning, whatever they hold; older runs count less. */
final class BreakRate {
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Runs assumed before any is seen, one of which broke. */
    private static final double ASSUMED_RUNS = 20;

    /** The number of sound suspects, of all that run meanwhile, that may look guilty. */
    private static final double MAX_WRONG = 2e-4;

    private double broken;
    private double answered;
    private long updatedNanos;

    void addBroken(long nowNanos) {
        decay(nowNanos);
        broken++;
    }

    void addAnswered(long nowNanos) {
        decay(nowNanos);
        answered++;
    }

    private void decay(long nowNanos) {
        double factor = Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
        broken *= factor;
        answered *= factor;
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }

    /**
     * Returns whether a sound suspect is unlikely to break that often in a row without an answer.
     *
     * @param crashes the number of crashes with a run of it, and none answered since
     */
    boolean isUnlikely(int crashes) {
        double others = Math.max(0, broken - crashes);
        double rate = (others + 1) / (others + answered + ASSUMED_RUNS);
        return (broken + answered + ASSUMED_RUNS) * Math.pow(rate, crashes) <= MAX_WRONG;
    }
}

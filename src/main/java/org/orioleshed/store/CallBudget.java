package org.orioleshed.store;

/** A token bucket: how many calls may be made. Not safe for threads. */
final class CallBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private final double burst;
    private double tokens;
    private long filledNanos;

    CallBudget(int callsPerSecond, int burst, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledNanos = nowNanos;
    }

    /** Takes a call out of the budget, or returns false when it is spent. */
    boolean take(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        tokens = Math.min(burst, tokens + elapsedSeconds * callsPerSecond);
        filledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}

package org.orioleshed.store;

/** A token bucket that limits the rate of calls. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private final double burst;
    private double tokens;
    private long lastRefillNanos;

    TokenBucket(int callsPerSecond, int burst, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefillNanos = nowNanos;
    }

    /** Takes one token; returns false if the bucket is empty. */
    boolean tryTake(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        tokens = Math.min(burst, tokens + elapsedSeconds * callsPerSecond);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}

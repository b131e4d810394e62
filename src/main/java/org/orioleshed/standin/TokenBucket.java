package org.orioleshed.standin;

/** A token bucket that limits calls to a rate, with a capacity of one second of calls. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int perSecond;
    private double available;
    private long lastMillis;

    TokenBucket(int perSecond, long nowMillis) {
        this.perSecond = perSecond;
        this.available = perSecond;
        this.lastMillis = nowMillis;
    }

    boolean tryAcquire(long nowMillis) {
        double refill = (nowMillis - lastMillis) * perSecond / MILLIS_PER_SECOND;
        available = Math.min(perSecond, available + Math.max(0, refill));
        lastMillis = nowMillis;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}

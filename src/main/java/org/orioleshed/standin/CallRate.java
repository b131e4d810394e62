package org.orioleshed.standin;

/** Lets calls through up to a rate, with bursts of at most a second's worth. */
final class CallRate {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int perSecond;
    private double left;
    private long lastMillis;

    CallRate(int perSecond, long nowMillis) {
        this.perSecond = perSecond;
        this.left = perSecond;
        this.lastMillis = nowMillis;
    }

    boolean take(long nowMillis) {
        double refill = (nowMillis - lastMillis) * perSecond / MILLIS_PER_SECOND;
        left = Math.min(perSecond, left + Math.max(0, refill));
        lastMillis = nowMillis;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}

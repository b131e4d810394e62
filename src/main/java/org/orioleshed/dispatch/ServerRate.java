package org.orioleshed.dispatch;

/**
 * The rate limit that a server stated in its answers for the requests of all hosts together. It
 * protects an overloaded server: every request sent to it is counted, whichever scheduler placed it
 * and whichever attempt it is. The bucket starts empty, so that a new primary or a repeated
 * statement grants nothing twice.
 */
final class ServerRate {
    /** The burst, as the time in which it accrues; at least one request. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * The lowest rate: a server that accepts no requests is probed at this rate to detect the end
     * of the limit.
     */
    private static final double MIN_PER_SECOND = 0.1;

    private final TokenBucket bucket;
    private double statedPerSecond;
    private double fraction;
    private long statedNanos;

    /**
     * Makes the rate limit of a server that just stated it.
     *
     * @param perSecond the stated rate, in requests per second
     * @param fraction the fraction of it that this scheduler may use, from 0 to 1
     */
    ServerRate(double perSecond, double fraction, long nowNanos) {
        this.statedPerSecond = perSecond;
        this.fraction = fraction;
        this.statedNanos = nowNanos;
        this.bucket = new TokenBucket(perSecond(), burst(), 0, nowNanos);
    }

    /** Records that the server stated its rate again. */
    void update(double newPerSecond, long nowNanos) {
        statedPerSecond = newPerSecond;
        statedNanos = nowNanos;
        bucket.setLimit(perSecond(), burst(), nowNanos);
    }

    /** Sets the fraction of the rate that this scheduler may use. */
    void setFraction(double newFraction, long nowNanos) {
        fraction = newFraction;
        bucket.setLimit(perSecond(), burst(), nowNanos);
    }

    /**
     * Returns whether an answer without a stated limit ends this limit. An answer to a request that
     * was sent before the last statement may be older than that statement, and does not.
     *
     * @param sentNanos when the answered request was placed, on the monotonic clock
     */
    boolean isEndedByAnswerTo(long sentNanos) {
        return sentNanos - statedNanos >= 0;
    }

    /** Returns the rate that this scheduler may use, in requests per second. */
    double perSecond() {
        return fraction * Math.max(statedPerSecond, MIN_PER_SECOND);
    }

    private double burst() {
        return Math.max(1, BURST_SECONDS * perSecond());
    }

    /** Returns whether a request may be sent now. */
    boolean hasRoom(long nowNanos) {
        return fraction > 0 && bucket.holds(1, nowNanos);
    }

    /** Counts a request that was sent, even beyond the rate. */
    void recordSent(long nowNanos) {
        bucket.charge(1, nowNanos);
    }
}

package org.orioleshed.dispatch;

/**
 * How many requests a server takes from all hosts together, as it names it in its answers, and how
 * many of them may be sent now. Answers the load pattern of a server in need whose callers go on as
 * before: every request that goes to it is counted here, whoever placed it and whether it is its
 * first, and nothing is there at the start, so that a new primary or a repeated notice gives
 * nothing out again.
 */
final class ServerRate {
    /** A pause lets this much gather, and one request at least. */
    private static final double BURST_SECONDS = 0.25;

    /** A server that takes none is sent one now and then, to hear whether that still holds. */
    private static final double LEAST_PER_SECOND = 0.1;

    private final TokenBucket bucket;
    private double namedPerSecond;
    private double part;
    private long namedNanos;

    /**
     * Makes one for a server that has just named its rate.
     *
     * @param perSecond requests a second, as named
     * @param part the part of it that this scheduler gives out, from 0 to 1
     */
    ServerRate(double perSecond, double part, long nowNanos) {
        this.namedPerSecond = perSecond;
        this.part = part;
        this.namedNanos = nowNanos;
        this.bucket = new TokenBucket(perSecond(), burst(), 0, nowNanos);
    }

    /** The server named its rate again. */
    void named(double newPerSecond, long nowNanos) {
        namedPerSecond = newPerSecond;
        namedNanos = nowNanos;
        bucket.limit(perSecond(), burst(), nowNanos);
    }

    /** Takes the part of the rate that this scheduler gives out from now on. */
    void part(double newPart, long nowNanos) {
        part = newPart;
        bucket.limit(perSecond(), burst(), nowNanos);
    }

    /**
     * Returns whether an answer without a limit ends it. One to a request that was sent before the
     * server last named its limit may have been made before that, too.
     *
     * @param sentNanos when the answered request was placed
     */
    boolean isEndedByAnswerTo(long sentNanos) {
        return sentNanos - namedNanos >= 0;
    }

    /** Returns the requests a second that this scheduler may send. */
    double perSecond() {
        return part * Math.max(namedPerSecond, LEAST_PER_SECOND);
    }

    private double burst() {
        return Math.max(1, BURST_SECONDS * perSecond());
    }

    /** Returns whether a request may be sent now. */
    boolean hasRoom(long nowNanos) {
        return part > 0 && bucket.holds(1, nowNanos);
    }

    /** Counts a request that was sent, whether or not there was room. */
    void sent(long nowNanos) {
        bucket.charge(1, nowNanos);
    }
}

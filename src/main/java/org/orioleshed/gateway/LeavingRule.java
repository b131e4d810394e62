package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Decides what a host that was told to stop still takes. A request is taken only if the host is
 * expected to be there at its end: while the balancer may still send callers here, if a slow
 * request of its route would end in time; later, if its own time limit ends in time.
 */
final class LeavingRule {
    /** The balancer asks once a second and goes on sending until it has missed two answers. */
    private static final long STILL_SENT_MILLIS = 2_400;

    /** The last part of the grace period is kept for the process to end. */
    private static final long MAX_END_MILLIS = 700;

    private static final long GRACE_FOR_EACH_END = 10;

    private final long graceMillis;
    private final long endMillis;
    private boolean begun;
    private long begunNanos;

    /**
     * Makes the rule of a host that was not told to stop.
     *
     * @param graceMillis the time from the word to stop until the process is killed, in
     *     milliseconds; positive
     */
    LeavingRule(long graceMillis) {
        this.graceMillis = graceMillis;
        this.endMillis = Math.min(MAX_END_MILLIS, graceMillis / GRACE_FOR_EACH_END);
    }

    /** The host was told to stop. */
    void begin(long nowNanos) {
        begun = true;
        begunNanos = nowNanos;
    }

    boolean begun() {
        return begun;
    }

    /** Returns the time since the host was told to stop, in milliseconds; 0 before that. */
    long sinceMillis(long nowNanos) {
        return begun ? TimeUnit.NANOSECONDS.toMillis(nowNanos - begunNanos) : 0;
    }

    /** Returns how long the host still serves, in milliseconds. */
    long leftMillis(long nowNanos) {
        if (!begun) {
            return Long.MAX_VALUE;
        }
        return Math.max(0, graceMillis - endMillis - sinceMillis(nowNanos));
    }

    /** Returns whether the balancer may still send new connections here. */
    boolean isStillSent(long nowNanos) {
        return sinceMillis(nowNanos) < STILL_SENT_MILLIS;
    }

    /**
     * Returns whether a new request is taken.
     *
     * @param slowMillis how long a slow request of its route takes, in milliseconds
     * @param limitMillis the time after which it gets its final answer in any case, in milliseconds
     */
    boolean takes(long slowMillis, long limitMillis, long nowNanos) {
        return limitMillis <= leftMillis(nowNanos)
                || (isStillSent(nowNanos) && slowMillis <= leftMillis(nowNanos));
    }

    /** Returns whether a request that was taken and has not been sent on goes on waiting. */
    boolean keeps(long slowMillis, long limitMillis, long nowNanos) {
        return Math.min(slowMillis, limitMillis) <= leftMillis(nowNanos);
    }

    /** Returns whether all that is left has to end now. */
    boolean isOver(long nowNanos) {
        return leftMillis(nowNanos) == 0;
    }
}

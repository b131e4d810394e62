package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Decides what a host that was told to stop still takes, and when it ends. While the balancer may
 * still send callers here, all is taken. Later, a request is taken only if its own time limit ends
 * before the host does.
 */
final class LeavingRule {
    /** The balancer asks once a second and goes on sending until it has missed two answers. */
    private static final long STILL_SENT_MILLIS = 2_400;

    /** What is taken blindly has at least this part of the grace period. */
    private static final double MOST_STILL_SENT = 0.5;

    /**
     * The last part of the grace period is kept for the last answers and for the process to end.
     */
    private static final long MAX_END_MILLIS = 700;

    private static final double END_PART = 0.1;

    private final long stillSentMillis;
    private final long servesMillis;
    private final long lastMillis;
    private boolean begun;
    private long begunNanos;

    /**
     * Makes the rule of a host that was not told to stop.
     *
     * @param graceMillis the time from the word to stop until the process is killed, in
     *     milliseconds; positive
     */
    LeavingRule(long graceMillis) {
        long endMillis = Math.min(MAX_END_MILLIS, (long) (graceMillis * END_PART));
        this.stillSentMillis = Math.min(STILL_SENT_MILLIS, (long) (graceMillis * MOST_STILL_SENT));
        this.servesMillis = graceMillis - endMillis;
        this.lastMillis = graceMillis - endMillis / 2;
    }

    /**
     * The host was told to stop.
     *
     * @param toldNanos when, on the monotonic clock
     */
    void begin(long toldNanos) {
        begun = true;
        begunNanos = toldNanos;
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
        return begun ? Math.max(0, servesMillis - sinceMillis(nowNanos)) : Long.MAX_VALUE;
    }

    /** Returns whether the balancer may still send new connections here. */
    boolean isStillSent(long nowNanos) {
        return sinceMillis(nowNanos) < stillSentMillis;
    }

    /**
     * Returns whether a request that no server has yet is taken, or goes on waiting.
     *
     * @param limitMillis the time after which it gets its final answer in any case, in milliseconds
     */
    boolean takes(long limitMillis, long nowNanos) {
        return isStillSent(nowNanos) || limitMillis <= leftMillis(nowNanos);
    }

    /** Returns whether all that is left has to end now. */
    boolean isOver(long nowNanos) {
        return leftMillis(nowNanos) == 0;
    }

    /** Returns whether last answers that are not yet written are waited for no longer. */
    boolean isLast(long nowNanos) {
        return begun && sinceMillis(nowNanos) >= lastMillis;
    }
}

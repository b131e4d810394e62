package org.orioleshed.gateway;

/**
 * Measures for how long input may have waited unread behind an event loop's other work. Pure: the
 * times are given, in nanoseconds on the monotonic clock.
 *
 * <p>An event loop polls its channels, handles those that are ready, and runs tasks. Input that
 * arrives after a poll returned waits until the next one. A poll that returns after its deadline
 * shows that the thread got no processor time.
 */
final class LoopLag {
    /**
     * With requests pending, the loop polls at least this often; a longer time without a poll shows
     * that it is late.
     */
    static final long LATE_NANOS = 50_000_000;

    /** Input that waited unread during a stall is handled by the polls within this time. */
    private static final long CATCH_UP_NANOS = 50_000_000;

    private long polledNanos;
    private long dueNanos;
    private long busyNanos;
    private long lagNanos;
    private long stalledNanos;
    private boolean stalled;
    private long polls;

    LoopLag(long nowNanos) {
        polledNanos = nowNanos;
        dueNanos = nowNanos;
    }

    /**
     * Records that the loop begins to poll.
     *
     * @param timeoutNanos the time after which the poll returns at the latest, in nanoseconds
     */
    void pollBegins(long nowNanos, long timeoutNanos) {
        busyNanos = nowNanos - polledNanos;
        dueNanos = nowNanos + Math.max(0, timeoutNanos);
    }

    /** Records that the poll returned; the loop now handles the channels that are ready. */
    void pollEnds(long nowNanos) {
        lagNanos = busyNanos + Math.max(0, nowNanos - dueNanos);
        polledNanos = nowNanos;
        polls++;
        if (lagNanos > LATE_NANOS) {
            stalled = true;
            stalledNanos = nowNanos;
        }
    }

    /** Returns the number of polls so far. */
    long polls() {
        return polls;
    }

    /** Returns how long the input that the last poll found may have waited, in nanoseconds. */
    long lagNanos() {
        return lagNanos;
    }

    /** Returns how long input that is not handled yet may have waited, in nanoseconds. */
    long unreadNanos(long nowNanos) {
        return lagNanos + nowNanos - polledNanos;
    }

    /** Returns whether the end of a connection may have waited unread for long. */
    boolean isLate(long nowNanos) {
        return unreadNanos(nowNanos) > LATE_NANOS
                || (stalled && nowNanos - stalledNanos < CATCH_UP_NANOS);
    }
}

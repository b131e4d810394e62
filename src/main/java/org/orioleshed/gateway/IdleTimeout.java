package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a caller's idle connection may be closed. Pure: times are given, in nanoseconds on
 * the monotonic clock.
 *
 * <p>The limit may change while a connection is idle. Its caller may still use an earlier limit, or
 * already one that this host does not have yet. So the longest limit of the idle time counts, and
 * the connection is kept open beyond it until a change would be in force everywhere.
 */
final class IdleTimeout {
    private final long changeMillis;
    private long sinceNanos;
    private long longestMillis;

    /**
     * Creates a timeout that has not begun.
     *
     * @param changeMillis the time within which a changed limit is in force everywhere, in
     *     milliseconds
     */
    IdleTimeout(long changeMillis) {
        this.changeMillis = changeMillis;
    }

    /**
     * Begins an idle time.
     *
     * @param limitMillis the longest limit that the caller may know of, in milliseconds
     */
    void begin(long nowNanos, long limitMillis) {
        sinceNanos = nowNanos;
        longestMillis = limitMillis;
    }

    /** Begins anew under the same limits, as the connection was used. */
    void restart(long nowNanos) {
        sinceNanos = nowNanos;
    }

    /** Records the limit that is in force now, in milliseconds. */
    void recordLimit(long limitMillis) {
        longestMillis = Math.max(longestMillis, limitMillis);
    }

    /** Returns whether the connection may be closed. */
    boolean isOver(long nowNanos) {
        return idleMillis(nowNanos) > longestMillis + changeMillis;
    }

    /** Returns when the idle time began, in nanoseconds on the monotonic clock. */
    long sinceNanos() {
        return sinceNanos;
    }

    /** Returns how long the connection has been idle, in milliseconds. */
    long idleMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
    }

    /** Returns the longest limit of the idle time, in milliseconds. */
    long longestMillis() {
        return longestMillis;
    }
}

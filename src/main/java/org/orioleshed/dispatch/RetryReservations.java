package org.orioleshed.dispatch;

import java.util.TreeMap;

/**
 * Chooses the retry times of refused callers of a pool, so that they return spread over the
 * capacity that becomes free. Each refusal reserves the capacity that it names; the next one of the
 * same or a less urgent rank names a later time. The design note is {@code
 * docs/design/fair-sharing.md}.
 */
final class RetryReservations {
    private static final double NANOS_PER_MILLI = 1e6;

    /** When the work that was reserved for each rank is done, on the monotonic clock. */
    private final TreeMap<Integer, Long> reservedUntilNanos = new TreeMap<>();

    /**
     * Returns when a refused caller is to retry, in milliseconds from now, and reserves the
     * capacity at that time.
     *
     * @param rank the rank of the request
     * @param expectedMillis when capacity is expected to be free, in milliseconds from now
     * @param spacingMillis the time that the pool needs for one such request, in milliseconds
     * @param maxMillis the longest time that may be named, in milliseconds
     */
    double reserve(
            int rank,
            double expectedMillis,
            double spacingMillis,
            double maxMillis,
            long nowNanos) {
        reservedUntilNanos.values().removeIf(untilNanos -> untilNanos <= nowNanos);
        double reservedMillis = 0;
        for (long untilNanos : reservedUntilNanos.headMap(rank, true).values()) {
            reservedMillis = Math.max(reservedMillis, (untilNanos - nowNanos) / NANOS_PER_MILLI);
        }
        double millis = Math.max(expectedMillis, reservedMillis);
        if (millis > maxMillis) {
            return maxMillis;
        }
        long untilNanos = nowNanos + (long) ((millis + spacingMillis) * NANOS_PER_MILLI);
        reservedUntilNanos.put(rank, untilNanos);
        return millis;
    }
}

package org.orioleshed.dispatch;

import java.util.TreeMap;

/**
 * Chooses the retry times of refused callers of a pool, so that they return spread over the
 * capacity that becomes free. Each refusal reserves the capacity that it names; the next one of the
 * same or a less urgent rank names a later time. Where no capacity is expected in the time that may
 * be named, callers are spread over the last part of that time. The design note is {@code
 * docs/design/fair-sharing.md}.
 */
final class RetryReservations {
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * The last part of the time that may be named, over which callers are spread when no capacity
     * is expected in it. Spreading them over all of it lowers the served worth, as those that
     * return early are refused again.
     */
    private static final double SPREAD_FRACTION = 0.5;

    /** When the work that was reserved for each rank is done, on the monotonic clock. */
    private final TreeMap<Integer, Long> reservedUntilNanos = new TreeMap<>();

    /** When the work of those without expected capacity would be done, on the monotonic clock. */
    private long excessUntilNanos = Long.MIN_VALUE;

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
        if (expectedMillis >= maxMillis) {
            return spreadExcess(spacingMillis, maxMillis, nowNanos);
        }
        double millis = Math.max(expectedMillis, reservedMillis(rank, nowNanos));
        if (millis > maxMillis) {
            return spreadExcess(spacingMillis, maxMillis, nowNanos);
        }
        reservedUntilNanos.put(rank, nanosAfter(nowNanos, millis + spacingMillis));
        return millis;
    }

    private double reservedMillis(int rank, long nowNanos) {
        reservedUntilNanos.values().removeIf(untilNanos -> untilNanos <= nowNanos);
        double reservedMillis = 0;
        for (long untilNanos : reservedUntilNanos.headMap(rank, true).values()) {
            reservedMillis = Math.max(reservedMillis, (untilNanos - nowNanos) / NANOS_PER_MILLI);
        }
        return reservedMillis;
    }

    private double spreadExcess(double spacingMillis, double maxMillis, long nowNanos) {
        double windowMillis = Math.max(1, maxMillis * SPREAD_FRACTION);
        double aheadMillis =
                excessUntilNanos <= nowNanos
                        ? 0
                        : (excessUntilNanos - nowNanos) / NANOS_PER_MILLI % windowMillis;
        excessUntilNanos = nanosAfter(nowNanos, aheadMillis + spacingMillis);
        return maxMillis - aheadMillis;
    }

    private static long nanosAfter(long nowNanos, double millis) {
        return nowNanos + (long) (millis * NANOS_PER_MILLI);
    }
}

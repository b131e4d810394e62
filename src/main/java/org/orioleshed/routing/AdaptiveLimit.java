package org.orioleshed.routing;

import org.HdrHistogram.IntCountsHistogram;

/**
 * How many requests one engine runs at once: up by one while the targets are met and more is
 * wanted, down by a factor when the engine's own streams miss them.
 *
 * <p>An engine that misses the target for the time between tokens even with one request is not
 * helped by a low limit. Its limit then keeps that time within twice what the engine does by
 * itself, so that its throughput stays in use for work that bears it.
 */
final class AdaptiveLimit {
    private static final long WINDOW_NANOS = 500_000_000L;
    private static final long LONGEST_WINDOW_NANOS = 4 * WINDOW_NANOS;
    private static final long BASE_MEMORY_NANOS = 60_000_000_000L;
    private static final int FEWEST_GAPS = 10;
    private static final int FEWEST_FIRST_TOKENS = 4;
    private static final double DECREASE = 0.75;
    private static final double RAISE_BELOW = 0.85;
    private static final double BASE_FACTOR = 2.0;
    private static final int HIGHEST_MICROS = 60_000_000;

    private final long gapTargetMicros;
    private final long firstTokenTargetMicros;
    private final IntCountsHistogram gaps = new IntCountsHistogram(HIGHEST_MICROS, 2);
    private final IntCountsHistogram firstTokens = new IntCountsHistogram(HIGHEST_MICROS, 2);
    private int places;
    private double limit;
    private long windowStartNanos;
    private boolean started;
    private boolean wanted;
    private int mostRunning;
    private long baseGapMicros = Long.MAX_VALUE;
    private long baseSeenNanos;

    AdaptiveLimit(RoutingLimits limits, int places) {
        gapTargetMicros = limits.tokenGapMillis() * 1_000L;
        firstTokenTargetMicros = limits.firstTokenMillis() * 1_000L;
        this.places = Math.max(1, places);
        limit = this.places;
    }

    /** Returns the limit, from 1 to the server's places. */
    int current() {
        return (int) limit;
    }

    void setPlaces(int newPlaces) {
        places = Math.max(1, newPlaces);
        limit = Math.min(limit, places);
    }

    /** Notes the time between two tokens of one stream. */
    void gap(long micros) {
        gaps.recordValue(Math.clamp(micros, 0, HIGHEST_MICROS));
    }

    /**
     * Notes a time to the first token.
     *
     * @param micros the time since the run was started
     * @param alone how much of it the engine needs for this prompt when it has nothing else to do
     */
    void firstToken(long micros, long alone) {
        // A long prompt is late by itself; that is no reason to run fewer.
        long excusedMicros = Math.max(0, alone - firstTokenTargetMicros / 2);
        firstTokens.recordValue(Math.clamp(micros - excusedMicros, 0, HIGHEST_MICROS));
    }

    /** Notes how many requests are on the engine and whether more wait. */
    void load(int running, boolean moreWait) {
        mostRunning = Math.max(mostRunning, running);
        wanted |= moreWait || running >= current();
    }

    /** Adjusts the limit when a window of observation is over. */
    void tick(long nowNanos) {
        if (!started) {
            started = true;
            windowStartNanos = nowNanos;
            baseSeenNanos = nowNanos;
            return;
        }
        long age = nowNanos - windowStartNanos;
        boolean enough = gaps.getTotalCount() >= FEWEST_GAPS;
        if (age < WINDOW_NANOS || (!enough && age < LONGEST_WINDOW_NANOS)) {
            return;
        }
        if (enough) {
            adjust(nowNanos);
        }
        gaps.reset();
        firstTokens.reset();
        wanted = false;
        mostRunning = 0;
        windowStartNanos = nowNanos;
    }

    private void adjust(long nowNanos) {
        learnBase(nowNanos);
        double target = gapTargetMicros;
        if (baseGapMicros != Long.MAX_VALUE && baseGapMicros > target) {
            target = BASE_FACTOR * baseGapMicros;
        }
        long gapMicros = gaps.getValueAtPercentile(95);
        if (gapMicros > target || firstTokensLate()) {
            // While more run than the limit allows, the last decrease has not shown its effect.
            if (mostRunning <= current()) {
                limit = Math.max(1, limit * DECREASE);
            }
            return;
        }
        if (wanted && gapMicros < RAISE_BELOW * target) {
            limit = Math.min(places, limit + 1);
        }
    }

    private void learnBase(long nowNanos) {
        if (nowNanos - baseSeenNanos > BASE_MEMORY_NANOS) {
            baseGapMicros = Long.MAX_VALUE;
        }
        if (mostRunning <= 1) {
            baseGapMicros = gaps.getValueAtPercentile(95);
            baseSeenNanos = nowNanos;
        }
    }

    private boolean firstTokensLate() {
        return firstTokens.getTotalCount() >= FEWEST_FIRST_TOKENS
                && firstTokens.getValueAtPercentile(95) > firstTokenTargetMicros;
    }
}

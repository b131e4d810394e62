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
    private static final long MAX_WINDOW_NANOS = 4 * WINDOW_NANOS;
    private static final long BASE_RETENTION_NANOS = 60_000_000_000L;
    private static final int MIN_GAPS = 10;
    private static final int MIN_FIRST_TOKENS = 4;
    private static final double DECREASE_FACTOR = 0.75;
    private static final double RAISE_THRESHOLD = 0.85;
    private static final double BASE_FACTOR = 2.0;
    private static final int MAX_MICROS = 60_000_000;

    private final long gapTargetMicros;
    private final long firstTokenTargetMicros;
    private final IntCountsHistogram gaps = new IntCountsHistogram(MAX_MICROS, 2);
    private final IntCountsHistogram firstTokens = new IntCountsHistogram(MAX_MICROS, 2);
    private int slots;
    private double limit;
    private long windowStartNanos;
    private boolean started;
    private boolean wanted;
    private int maxRunning;
    private long baseGapMicros = Long.MAX_VALUE;
    private long baseUpdatedNanos;

    AdaptiveLimit(RoutingLimits limits, int slots) {
        gapTargetMicros = limits.tokenGapMillis() * 1_000L;
        firstTokenTargetMicros = limits.firstTokenMillis() * 1_000L;
        this.slots = Math.max(1, slots);
        limit = this.slots;
    }

    /** Returns the limit, from 1 to the server's places. */
    int current() {
        return (int) limit;
    }

    void setSlots(int newSlots) {
        slots = Math.max(1, newSlots);
        limit = Math.min(limit, slots);
    }

    /** Notes the time between two tokens of one stream. */
    void gap(long micros) {
        gaps.recordValue(Math.clamp(micros, 0, MAX_MICROS));
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
        firstTokens.recordValue(Math.clamp(micros - excusedMicros, 0, MAX_MICROS));
    }

    /** Notes how many requests are on the engine and whether more wait. */
    void load(int running, boolean moreWaiting) {
        maxRunning = Math.max(maxRunning, running);
        wanted |= moreWaiting || running >= current();
    }

    /** Adjusts the limit when a window of observation is over. */
    void tick(long nowNanos) {
        if (!started) {
            started = true;
            windowStartNanos = nowNanos;
            baseUpdatedNanos = nowNanos;
            return;
        }
        long age = nowNanos - windowStartNanos;
        boolean enough = gaps.getTotalCount() >= MIN_GAPS;
        if (age < WINDOW_NANOS || (!enough && age < MAX_WINDOW_NANOS)) {
            return;
        }
        if (enough) {
            adjust(nowNanos);
        }
        gaps.reset();
        firstTokens.reset();
        wanted = false;
        maxRunning = 0;
        windowStartNanos = nowNanos;
    }

    private void adjust(long nowNanos) {
        updateBase(nowNanos);
        double target = gapTargetMicros;
        if (baseGapMicros != Long.MAX_VALUE && baseGapMicros > target) {
            target = BASE_FACTOR * baseGapMicros;
        }
        long gapMicros = gaps.getValueAtPercentile(95);
        if (gapMicros > target || firstTokensLate()) {
            // While more run than the limit allows, the last decrease has not shown its effect.
            if (maxRunning <= current()) {
                limit = Math.max(1, limit * DECREASE_FACTOR);
            }
            return;
        }
        if (wanted && gapMicros < RAISE_THRESHOLD * target) {
            limit = Math.min(slots, limit + 1);
        }
    }

    private void updateBase(long nowNanos) {
        if (nowNanos - baseUpdatedNanos > BASE_RETENTION_NANOS) {
            baseGapMicros = Long.MAX_VALUE;
        }
        if (maxRunning <= 1) {
            baseGapMicros = gaps.getValueAtPercentile(95);
            baseUpdatedNanos = nowNanos;
        }
    }

    private boolean firstTokensLate() {
        return firstTokens.getTotalCount() >= MIN_FIRST_TOKENS
                && firstTokens.getValueAtPercentile(95) > firstTokenTargetMicros;
    }
}

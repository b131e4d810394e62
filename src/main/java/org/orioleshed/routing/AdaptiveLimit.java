package org.orioleshed.routing;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Additive-increase, multiplicative-decrease limit on the requests that one engine runs at once.
 * The limit rises by one while the latency targets are met and there is demand, and falls by a
 * factor when the engine's streams miss them.
 *
 * <p>A low limit does not help an engine that misses the token gap target even with a single
 * request. The target is then twice the engine's single-request token gap, so that its throughput
 * stays available to requests that tolerate slow streams.
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
    private boolean demand;
    private int maxRunning;
    private long baseGapMicros = Long.MAX_VALUE;
    private long baseUpdatedNanos;

    AdaptiveLimit(RoutingLimits limits, int slots) {
        gapTargetMicros = limits.tokenGapMillis() * 1_000L;
        firstTokenTargetMicros = limits.firstTokenMillis() * 1_000L;
        this.slots = Math.max(1, slots);
        limit = this.slots;
    }

    /** Returns the limit, from 1 to the server's slots. */
    int current() {
        return (int) limit;
    }

    void setSlots(int newSlots) {
        slots = Math.max(1, newSlots);
        limit = Math.min(limit, slots);
    }

    /** Records the time between two tokens of one stream, in microseconds. */
    void recordGap(long micros) {
        gaps.recordValue(Math.clamp(micros, 0, MAX_MICROS));
    }

    /**
     * Records a time to the first token.
     *
     * @param micros the time since the run was started, in microseconds
     * @param aloneMicros the prefill time of this prompt on an otherwise idle engine, in
     *     microseconds
     */
    void recordFirstToken(long micros, long aloneMicros) {
        // A long prompt exceeds the target even on an idle engine, so lowering the limit would not
        // help.
        long excusedMicros = Math.max(0, aloneMicros - firstTokenTargetMicros / 2);
        firstTokens.recordValue(Math.clamp(micros - excusedMicros, 0, MAX_MICROS));
    }

    /** Records how many requests are on the engine and whether more are waiting. */
    void recordLoad(int running, boolean moreWaiting) {
        maxRunning = Math.max(maxRunning, running);
        demand |= moreWaiting || running >= current();
    }

    /** Adjusts the limit when the observation window has ended. */
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
        demand = false;
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
            // While more requests run than the limit allows, the last decrease has not taken effect
            // yet.
            if (maxRunning <= current()) {
                limit = Math.max(1, limit * DECREASE_FACTOR);
            }
            return;
        }
        if (demand && gapMicros < RAISE_THRESHOLD * target) {
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

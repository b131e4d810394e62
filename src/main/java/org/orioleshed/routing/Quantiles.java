package org.orioleshed.routing;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Quantiles over a sliding window of samples: when the current half is full, the older half is
 * discarded.
 */
final class Quantiles {
    private static final int HALF_SAMPLES = 512;
    private static final int REFRESH_SAMPLES = 16;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final long maxValue;
    private IntCountsHistogram current;
    private IntCountsHistogram previous;
    private int sinceRefresh;
    private long median;
    private long p90;
    private long mean;

    /** Creates quantiles for values from 0 to {@code maxValue}; values outside are clamped. */
    Quantiles(long maxValue) {
        this.maxValue = maxValue;
        current = new IntCountsHistogram(maxValue, SIGNIFICANT_DIGITS);
        previous = new IntCountsHistogram(maxValue, SIGNIFICANT_DIGITS);
    }

    void add(long value) {
        current.recordValue(Math.clamp(value, 0, maxValue));
        sinceRefresh++;
        if (current.getTotalCount() >= HALF_SAMPLES) {
            IntCountsHistogram oldest = previous;
            previous = current;
            oldest.reset();
            current = oldest;
        }
        if (sinceRefresh >= REFRESH_SAMPLES || count() < REFRESH_SAMPLES) {
            refresh();
        }
    }

    /** Returns the number of samples in the window. */
    long count() {
        return current.getTotalCount() + previous.getTotalCount();
    }

    long median() {
        return median;
    }

    long p90() {
        return p90;
    }

    long mean() {
        return mean;
    }

    private void refresh() {
        Histogram both = new Histogram(maxValue, SIGNIFICANT_DIGITS);
        both.add(current);
        both.add(previous);
        median = both.getValueAtPercentile(50);
        p90 = both.getValueAtPercentile(90);
        mean = Math.round(both.getMean());
        sinceRefresh = 0;
    }
}

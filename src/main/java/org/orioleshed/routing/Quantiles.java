package org.orioleshed.routing;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/** Quantiles of the latest samples: the older half is forgotten as new ones come in. */
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

    /** Makes one for values from 0 to {@code maxValue}; larger ones count as {@code maxValue}. */
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

    /** Returns the number of samples that the quantiles stand on. */
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

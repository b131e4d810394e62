package org.orioleshed.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latency histograms by tier, with microsecond resolution. */
final class LatencyHistograms {
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Histogram> byTier = new ConcurrentHashMap<>();

    void record(String tier, long nanos) {
        Histogram histogram =
                byTier.computeIfAbsent(tier, name -> new ConcurrentHistogram(MAX_MICROS, 3));
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
    }

    void clear() {
        byTier.clear();
    }

    /** Returns a percentile in milliseconds; zero if nothing was recorded. */
    double millis(String tier, double percentile) {
        Histogram histogram = byTier.get(tier);
        return histogram == null
                ? 0
                : histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}

package org.orioleshed.routing;

/** Exponentially weighted mean of answer lengths. */
final class LengthEstimate {
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    private double meanTokens;
    private int samples;

    void add(int tokens) {
        samples++;
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
        meanTokens += weight * (tokens - meanTokens);
    }

    /** Returns the mean length in tokens, at least one. */
    int meanTokens() {
        return Math.max(1, (int) Math.round(meanTokens));
    }
}

package org.orioleshed.routing;

/** The mean length of answers, the later ones weighing more. */
final class LengthEstimate {
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    private double meanTokens;
    private int samples;

    void add(int tokens) {
        samples++;
        double share = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
        meanTokens += share * (tokens - meanTokens);
    }

    /** Returns the mean, in tokens, at least one. */
    int mean() {
        return Math.max(1, (int) Math.round(meanTokens));
    }
}

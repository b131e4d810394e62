package org.orioleshed.rollout;

/**
 * Sequential test of whether the rate of bad runs is too high. Each run adds the log-likelihood
 * ratio of "bad version" against "good version".
 *
 * <p>The alarm is a CUSUM statistic with a floor at zero, so a late fault is detected as fast as an
 * early one; a threshold of L gives on average at most one false alarm in e^L runs. The proof is
 * the same sum without the floor, as in Wald's sequential probability ratio test: at -L the
 * probability that a bad version passes is at most e^-L.
 */
final class SequentialRateTest {
    private static final double MAX_BAD_RATE = 0.95;

    private double alarm;
    private double proof;

    /**
     * Adds runs.
     *
     * @param runs the number of runs, not negative
     * @param bad how many of them are bad; a negative number revokes earlier ones
     * @param goodRate the rate of bad runs of a good version, above 0 and at most 0.5
     * @param gap the difference between the rates of a bad and a good version
     */
    void add(long runs, long bad, double goodRate, double gap) {
        double badRate = Math.min(MAX_BAD_RATE, goodRate + gap);
        double badWeight = Math.log(badRate / goodRate);
        double goodWeight = Math.log((1 - badRate) / (1 - goodRate));
        double weight = bad * badWeight + (runs - bad) * goodWeight;
        alarm = Math.max(0, alarm + weight);
        proof += weight;
    }

    /** Returns the evidence for a bad version, at least zero. */
    double alarm() {
        return alarm;
    }

    /**
     * Returns the evidence for a bad version since the last {@link #restartProof}; negative for a
     * good one.
     */
    double proof() {
        return proof;
    }

    void restartProof() {
        proof = 0;
    }
}

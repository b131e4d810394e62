package org.orioleshed.rollout;

/**
 * A sequential test of whether runs go wrong more often than they should. It weighs each run by the
 * logarithm of its odds under "bad" against "good".
 *
 * <p>The alarm is a cumulative sum that never goes below zero, so a fault that comes late is found
 * as fast as an early one; a level of L gives a false alarm at most once in e^L runs on average.
 * The proof sums the same weights without that floor, as Wald's test does: at -L a bad version
 * passes at most once in e^L.
 */
final class DriftTest {
    private static final double MAX_BAD_RATE = 0.95;

    private double alarm;
    private double proof;

    /**
     * Counts runs.
     *
     * @param runs the number of runs, not negative
     * @param bad how many of them went wrong; negative takes earlier ones back
     * @param goodRate the rate of a good version, above 0 and at most 0.5
     * @param gap how much higher the rate of a bad version is
     */
    void add(long runs, long bad, double goodRate, double gap) {
        double badRate = Math.min(MAX_BAD_RATE, goodRate + gap);
        double perBad = Math.log(badRate / goodRate);
        double perGood = Math.log((1 - badRate) / (1 - goodRate));
        double weight = bad * perBad + (runs - bad) * perGood;
        alarm = Math.max(0, alarm + weight);
        proof += weight;
    }

    /** Returns the evidence for "bad", at least zero. */
    double alarm() {
        return alarm;
    }

    /** Returns the evidence for "bad" since the last {@link #restartProof}; negative for "good". */
    double proof() {
        return proof;
    }

    void restartProof() {
        proof = 0;
    }
}

package org.orioleshed.rollout;

/**
 * The old version's current rate of bad runs, against which the new version is tested. A long
 * window gives a stable rate; a short window follows incidents that affect both versions.
 */
final class Baseline {
    private static final int LONG_RUNS = 400;
    private static final int SHORT_RUNS = 32;
    private static final double MAX_RATE = 0.5;

    private final double minRate;
    private final RateWindow longTerm;
    private final RateWindow shortTerm;

    /**
     * Creates a baseline without runs.
     *
     * @param minRate the lower bound of the rate, also used as the prior
     */
    Baseline(double minRate) {
        this.minRate = minRate;
        this.longTerm = new RateWindow(LONG_RUNS, minRate);
        this.shortTerm = new RateWindow(SHORT_RUNS, minRate);
    }

    void add(long runs, long bad) {
        longTerm.add(runs, bad);
        shortTerm.add(runs, bad);
    }

    /** Returns the expected rate of bad runs of a good version. */
    double goodRate() {
        double rate = Math.max(longTerm.upperRate(), shortTerm.rate());
        return Math.min(MAX_RATE, Math.max(minRate, rate));
    }
}

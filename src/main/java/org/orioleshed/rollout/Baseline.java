package org.orioleshed.rollout;

/**
 * How often the old version's runs go wrong at this time: what the new version is held to. A long
 * window gives a steady rate; a short one follows incidents that strike both versions.
 */
final class Baseline {
    private static final int LONG_RUNS = 400;
    private static final int SHORT_RUNS = 32;
    private static final double MAX_RATE = 0.5;

    private final double floor;
    private final RateWindow steady;
    private final RateWindow recent;

    /**
     * Makes a baseline without runs.
     *
     * @param floor the least rate, and the one supposed at first
     */
    Baseline(double floor) {
        this.floor = floor;
        this.steady = new RateWindow(LONG_RUNS, floor);
        this.recent = new RateWindow(SHORT_RUNS, floor);
    }

    void add(long runs, long bad) {
        steady.add(runs, bad);
        recent.add(runs, bad);
    }

    /** Returns the rate that a good version may have. */
    double goodRate() {
        double rate = Math.max(steady.upperRate(), recent.rate());
        return Math.min(MAX_RATE, Math.max(floor, rate));
    }
}

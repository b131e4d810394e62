package org.orioleshed.rollout;

/** Estimates the rate of an event over recent trials, with exponential decay. */
final class RateWindow {
    private static final double PRIOR_TRIALS = 25;

    private final double length;
    private final double prior;
    private double trials;
    private double events;

    /**
     * Creates an empty window.
     *
     * @param length the number of trials above which all counts are halved
     * @param prior the rate assumed without trials
     */
    RateWindow(double length, double prior) {
        this.length = length;
        this.prior = prior;
    }

    void add(long moreTrials, long moreEvents) {
        trials += moreTrials;
        events = Math.max(0, events + moreEvents);
        while (trials > length) {
            trials /= 2;
            events /= 2;
        }
    }

    double rate() {
        double rate = (events + prior * PRIOR_TRIALS) / (trials + PRIOR_TRIALS);
        return Math.min(1, rate);
    }

    /** Returns the rate plus its standard error. */
    double upperRate() {
        double rate = rate();
        return rate + Math.sqrt(rate * (1 - rate) / (trials + PRIOR_TRIALS));
    }
}

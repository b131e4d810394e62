package org.orioleshed.catalog;

/**
 * The times that keep a host's copy of the store's entries current, as parts of the time within
 * which a change must be in force.
 *
 * @param boundMillis the time from a change in the store until it must be in force at each host, in
 *     milliseconds
 */
public record WatchTiming(long boundMillis) {
    /** The timing where no bound is stated. */
    public static final WatchTiming DEFAULT = new WatchTiming(2_000);

    private static final long MIN_BOUND_MILLIS = 100;
    private static final int PERCENT = 100;
    private static final int POLL_PERCENT = 35;
    private static final int SILENCE_PERCENT = 20;
    private static final int REPORT_PERCENT = 15;
    private static final int TAKE_OVER_PERCENT = 70;

    /** Hosts take over one after the other, so that the first ones keep the others from it. */
    private static final int TAKE_OVER_STEP_PERCENT = 5;

    private static final int MAX_TAKE_OVER_STEPS = 4;

    /**
     * Validates the bound.
     *
     * @throws IllegalArgumentException if the bound is too short to keep
     */
    public WatchTiming {
        if (boundMillis < MIN_BOUND_MILLIS) {
            throw new IllegalArgumentException(
                    "bound must be at least "
                            + MIN_BOUND_MILLIS
                            + " milliseconds, found "
                            + boundMillis);
        }
    }

    /** Returns how long a poll of the store waits for a change, in milliseconds. */
    public long pollMillis() {
        return part(POLL_PERCENT);
    }

    /**
     * Returns how long after the end of its wait a poll without a response counts as silent, in
     * milliseconds.
     */
    public long silenceMillis() {
        return part(SILENCE_PERCENT);
    }

    /** Returns the interval at which a host that watches the store reports it, in milliseconds. */
    public long reportIntervalMillis() {
        return part(REPORT_PERCENT);
    }

    /**
     * Returns the age of the last confirmation of the watching hosts' copies from which a host
     * watches in their place, in milliseconds.
     *
     * @param rank the number of hosts that take over before it
     */
    public long takeOverMillis(int rank) {
        int steps = Math.min(rank, MAX_TAKE_OVER_STEPS);
        return part(TAKE_OVER_PERCENT + steps * TAKE_OVER_STEP_PERCENT);
    }

    private long part(int percent) {
        return boundMillis * percent / PERCENT;
    }
}

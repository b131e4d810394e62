package org.orioleshed.rollout;

/** How busy a backend server was when it took a run; runs are compared within a band. */
public enum LoadBand {
    /** Less than {@link #HIGH_LOAD} of the places were taken, or the load is unknown. */
    LOW,
    /** At least {@link #HIGH_LOAD} of the places were taken. */
    HIGH;

    /** The share of taken places from which on a server counts as busy. */
    public static final double HIGH_LOAD = 0.6;

    /** Returns the band of {@code load}, the share of taken places; negative when unknown. */
    public static LoadBand of(double load) {
        return load >= HIGH_LOAD ? HIGH : LOW;
    }
}

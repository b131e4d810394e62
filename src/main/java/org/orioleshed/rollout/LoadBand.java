package org.orioleshed.rollout;

/** Load of a backend server when it started a run. Runs are compared only within a band. */
public enum LoadBand {
    /** Less than {@link #HIGH_LOAD} of the slots were occupied, or the load is unknown. */
    LOW,
    /** At least {@link #HIGH_LOAD} of the slots were occupied. */
    HIGH;

    /** The least fraction of occupied slots of the band {@link #HIGH}. */
    public static final double HIGH_LOAD = 0.6;

    /**
     * Returns the band of a load.
     *
     * @param load the fraction of occupied slots; negative when unknown
     */
    public static LoadBand of(double load) {
        return load >= HIGH_LOAD ? HIGH : LOW;
    }
}

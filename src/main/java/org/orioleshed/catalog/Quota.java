package org.orioleshed.catalog;

/**
 * A workspace's rate limit over all hosts.
 *
 * @param perSecond the rate in units per second, finite and not negative; 0 for no limit
 * @param burst the burst in units, finite and not negative
 * @param inTokens whether a unit is a token rather than a call
 * @param plainUnits the units charged for a call that states no tokens, if a unit is a token; not
 *     negative
 */
public record Quota(double perSecond, double burst, boolean inTokens, long plainUnits) {
    /** No limit. */
    public static final Quota NONE = new Quota(0, 0, false, 1);

    /** Validates the arguments. */
    public Quota {
        if (!isAmount(perSecond) || !isAmount(burst) || plainUnits < 0) {
            throw new IllegalArgumentException(
                    "a quota must have finite numbers of 0 or more, found "
                            + perSecond
                            + ", "
                            + burst
                            + ", "
                            + plainUnits);
        }
    }

    private static boolean isAmount(double value) {
        return Double.isFinite(value) && value >= 0;
    }

    /** Returns whether there is no limit. */
    public boolean unlimited() {
        return perSecond <= 0;
    }

    /**
     * Returns the units charged for a call.
     *
     * @param statedTokens the tokens that the call states; negative if none
     */
    public long units(long statedTokens) {
        if (!inTokens) {
            return 1;
        }
        return statedTokens >= 0 ? statedTokens : plainUnits;
    }
}

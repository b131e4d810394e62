package org.orioleshed.catalog;

/**
 * What a workspace may use, over all hosts.
 *
 * @param perSecond units a second; 0 for no limit
 * @param burst units at once
 * @param inTokens whether a unit is a token; else a call
 * @param plainUnits the units of a call that states no tokens; used where a unit is a token
 */
public record Quota(double perSecond, double burst, boolean inTokens, long plainUnits) {
    /** No limit. */
    public static final Quota NONE = new Quota(0, 0, false, 1);

    /** Returns whether there is no limit. */
    public boolean unlimited() {
        return perSecond <= 0;
    }

    /**
     * Returns what a call uses.
     *
     * @param statedTokens the tokens that the call states; negative where it states none
     */
    public long units(long statedTokens) {
        if (!inTokens) {
            return 1;
        }
        return statedTokens >= 0 ? statedTokens : plainUnits;
    }
}

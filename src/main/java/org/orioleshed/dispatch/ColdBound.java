package org.orioleshed.dispatch;

/**
 * How many requests a cold server may get in one second from all hosts together, set by operators:
 * its stated rate multiplied by {@code over}, plus {@code slack}.
 *
 * @param over a factor of the stated rate; not negative
 * @param slack requests beyond that; not negative
 */
public record ColdBound(double over, double slack) {
    /** The bound where operators set none: the stated rate, with a burst of one request. */
    public static final ColdBound DEFAULT = new ColdBound(1, 1);

    /** Returns the bound on the requests in one second to a server that accepts {@code rate}. */
    double perSecond(double rate) {
        return rate * over + slack;
    }

    /**
     * Returns the part of the bound that primaries may use: the rate and a burst of one request.
     */
    double ofPrimaries(double rate) {
        return Math.min(rate + 1, perSecond(rate));
    }

    /**
     * Returns the part of the bound that hosts without a primary may use. As much is left for
     * requests in flight when a notice arrives.
     */
    double ofFallbacks(double rate) {
        return (perSecond(rate) - ofPrimaries(rate)) / 2;
    }
}

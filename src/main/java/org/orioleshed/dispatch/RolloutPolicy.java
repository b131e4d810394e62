package org.orioleshed.dispatch;

/**
 * The bounds on the requests that a version may get before it is proved.
 *
 * @param share the fraction of a pool's requests, from 0 to 1
 * @param slack the number of requests in addition to that, not negative
 */
public record RolloutPolicy(double share, double slack) {
    /** The default bounds. */
    public static final RolloutPolicy DEFAULT = new RolloutPolicy(0.1, 50);

    /** Checks the arguments. */
    public RolloutPolicy {
        if (share < 0 || share > 1 || slack < 0) {
            throw new IllegalArgumentException(
                    "share must be from 0 to 1 and slack not negative, found share "
                            + share
                            + " and slack "
                            + slack);
        }
    }
}

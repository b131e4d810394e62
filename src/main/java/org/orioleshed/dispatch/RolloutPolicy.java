package org.orioleshed.dispatch;

/**
 * What a bad version may cost.
 *
 * @param share the part of a pool's requests that it may get, from 0 to 1
 * @param slack requests that it may get beside that
 */
public record RolloutPolicy(double share, double slack) {
    /** What holds where nothing is said. */
    public static final RolloutPolicy DEFAULT = new RolloutPolicy(0.1, 50);

    /** Checks the arguments. */
    public RolloutPolicy {
        if (share < 0 || share > 1 || slack < 0) {
            throw new IllegalArgumentException("share must be a part, and slack not negative");
        }
    }
}

package org.orioleshed.rollout;

/**
 * A rollout by fixed steps at regular intervals that ignores evidence; the reference for
 * comparison.
 */
final class NaiveRollout {
    private static final double[] SHARES = {0.01, 0.05, 0.25, 0.5, 1};

    private NaiveRollout() {}

    /**
     * Returns the new version's share.
     *
     * @param progress the fraction of the duration that has passed, from 0 to 1
     */
    static double share(double progress) {
        int step = (int) (progress * SHARES.length);
        return SHARES[Math.min(step, SHARES.length - 1)];
    }
}

package org.orioleshed.rollout;

import java.util.List;

/**
 * Limits and thresholds of rollouts.
 *
 * @param shares the new version's share of requests at each step, rising, above 0 and at most 1;
 *     the last one applies until the outcome
 * @param serviceFactor factor on the shares of a plain service, above 0 and at most 1
 * @param stepProof the evidence required for the next step, as the logarithm of the odds for a good
 *     version
 * @param fullProof the evidence required for completion, on the same scale; at 7.6 a bad version
 *     passes once in 2,000
 * @param breakerLevel the evidence that trips a circuit breaker, as the logarithm of the odds for a
 *     bad version
 * @param failureGap the increase in the fraction of failed runs that makes a version bad, above 0
 *     and at most 1
 * @param slowGap the increase in the fraction of runs above the old version's 90th percentile that
 *     makes a version slow, above 0 and at most 1
 * @param soakFraction the fraction of the time between the first step and completeBy that must pass
 *     before completion, above 0 and at most 1
 * @param propagationMillis the time that a recorded outcome takes to reach every reachable host, in
 *     milliseconds; no completion is recorded within this time before completeBy
 * @param guardMillis how long circuit breakers stay active after completion, in milliseconds
 * @param gossipMillis the time between evidence messages, in milliseconds
 * @param gossipPeers the maximum number of peers that get evidence at each of these times
 * @param freshMillis the maximum age of a domain's evidence when the coordinator takes a step, in
 *     milliseconds
 * @param leaseMillis the time to live of the coordinator's lease, in milliseconds
 * @param leaseMarginMillis how long before its expiry the coordinator stops relying on the lease,
 *     in milliseconds
 * @param storeTimeoutMillis the timeout of a store call, in milliseconds
 * @param listMillis the time between listings of all rollouts, in milliseconds
 * @param coldRuns the number of a new version's first runs on each server whose times are not
 *     compared
 * @param weightLoadsAtOnce the maximum number of servers that load weights at once
 * @param weightSpacingMillis the minimum time between two orders to load weights, in milliseconds
 */
public record RolloutLimits(
        List<Double> shares,
        double serviceFactor,
        double stepProof,
        double fullProof,
        double breakerLevel,
        double failureGap,
        double slowGap,
        double soakFraction,
        long propagationMillis,
        long guardMillis,
        long gossipMillis,
        int gossipPeers,
        long freshMillis,
        long leaseMillis,
        long leaseMarginMillis,
        long storeTimeoutMillis,
        long listMillis,
        int coldRuns,
        int weightLoadsAtOnce,
        long weightSpacingMillis) {
    /** The limits used where the settings state none. */
    public static final RolloutLimits DEFAULT =
            new RolloutLimits(
                    List.of(0.01, 0.02, 0.04),
                    0.4,
                    0.7,
                    7.6,
                    15,
                    0.15,
                    0.3,
                    0.8,
                    3_000,
                    600_000,
                    500,
                    8,
                    2_000,
                    10_000,
                    1_000,
                    1_000,
                    5_000,
                    3,
                    1,
                    10_000);

    /** Checks the arguments. */
    public RolloutLimits {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("shares must not be empty");
        }
        double previous = 0;
        for (double share : shares) {
            if (share <= previous || share > 1) {
                throw new IllegalArgumentException(
                        "shares must rise from 0 to 1, found " + share + " after " + previous);
            }
            previous = share;
        }
        requireFraction(serviceFactor, "serviceFactor");
        requireFraction(failureGap, "failureGap");
        requireFraction(slowGap, "slowGap");
        requireFraction(soakFraction, "soakFraction");
        requirePositive(stepProof, "stepProof");
        requirePositive(fullProof, "fullProof");
        requirePositive(breakerLevel, "fuseLevel");
        requirePositive(propagationMillis, "spreadMillis");
        requirePositive(guardMillis, "guardMillis");
        requirePositive(gossipMillis, "gossipMillis");
        requirePositive(gossipPeers, "gossipPeers");
        requirePositive(freshMillis, "freshMillis");
        requirePositive(leaseMillis - leaseMarginMillis, "leaseMillis minus leaseMarginMillis");
        requirePositive(leaseMarginMillis, "leaseMarginMillis");
        requirePositive(storeTimeoutMillis, "storeTimeoutMillis");
        requirePositive(listMillis, "listMillis");
        requirePositive(weightLoadsAtOnce, "weightLoadsAtOnce");
        requirePositive(weightSpacingMillis, "weightSpacingMillis");
        if (coldRuns < 0) {
            throw new IllegalArgumentException("coldRuns must not be negative: " + coldRuns);
        }
    }

    /** Returns the index of the last step. */
    int lastStep() {
        return shares.size() - 1;
    }

    private static void requireFraction(double value, String name) {
        if (!(value > 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " must be above 0 and at most 1: " + value);
        }
    }

    private static void requirePositive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }

    private static void requirePositive(double value, String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}

package org.orioleshed.rollout;

import java.util.List;

/**
 * The numbers that rollouts go by.
 *
 * @param shares the new version's share of requests at each step, growing, from 0 to 1; the last
 *     one is kept until the outcome
 * @param serviceFactor what the shares are multiplied by for a plain service, from 0 to 1
 * @param stepProof the evidence that earns a step before the last, as the logarithm of the odds for
 *     "good"
 * @param fullProof the evidence that earns completion, on the same scale; 7.6 makes a bad version
 *     pass once in 2,000
 * @param breakerLevel the evidence that trips a breaker, as the logarithm of the odds for "bad"
 * @param failureGap how much more of its runs a bad version fails than the old one, from 0 to 1
 * @param slowGap how much more of its runs lie above the old version's 90th percentile when a
 *     version counts as slow, from 0 to 1
 * @param soakFraction the part of the time between first step and completeBy that must pass before
 *     completion, from 0 to 1
 * @param spreadMillis the time that a recorded outcome takes to reach every reachable host; no
 *     completion is recorded later than this before completeBy
 * @param guardMillis how long breakers stay armed after completion, in milliseconds
 * @param gossipMillis the time between evidence messages, in milliseconds
 * @param gossipPeers the most peers that get evidence at each of these times
 * @param freshMillis how old a domain's evidence may be when the coordinator takes a step
 * @param leaseMillis the coordinator's lease
 * @param leaseMarginMillis how long before its end the coordinator stops relying on the lease
 * @param storeTimeoutMillis the time that a store call may take
 * @param listMillis the time between listings of all rollouts, in milliseconds
 * @param coldRuns a new version's first runs on each server that are not compared for time
 * @param weightLoadsAtOnce the most servers that load weights at once
 * @param weightSpacingMillis the least time between two orders to load weights
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
        long spreadMillis,
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
                throw new IllegalArgumentException("shares must grow from 0 to 1: " + shares);
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
        requirePositive(spreadMillis, "spreadMillis");
        requirePositive(guardMillis, "guardMillis");
        requirePositive(gossipMillis, "gossipMillis");
        requirePositive(gossipPeers, "gossipPeers");
        requirePositive(freshMillis, "freshMillis");
        requirePositive(leaseMillis - leaseMarginMillis, "leaseMillis less its margin");
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
            throw new IllegalArgumentException(name + " must lie between 0 and 1: " + value);
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

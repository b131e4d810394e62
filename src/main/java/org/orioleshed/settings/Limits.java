package org.orioleshed.settings;

import java.util.List;

/**
 * Limits that apply to the whole fleet.
 *
 * @param moveSpreadMillis how long before a rollout's completeBy time its outcome must be recorded,
 *     in milliseconds
 * @param moveShares the new version's share of requests at each step of a rollout, strictly
 *     increasing, each from 0 to 1
 * @param moveSoakFraction the fraction of the time from a rollout's start to its completeBy time
 *     that must pass before it completes, from 0 to 1
 * @param versionLoadsAtOnce the maximum number of backend servers that load a version concurrently
 */
public record Limits(
        long moveSpreadMillis,
        List<Double> moveShares,
        double moveSoakFraction,
        int versionLoadsAtOnce) {
    /** Copies the list. */
    public Limits {
        moveShares = List.copyOf(moveShares);
    }
}

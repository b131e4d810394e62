package org.orioleshed.settings;

import java.util.List;

/**
 * Limits of the whole fleet.
 *
 * @param moveSpreadMillis how long before a rollout's time its outcome must be recorded
 * @param moveShares the new version's share of requests at each step of a rollout, growing, each
 *     from 0 to 1
 * @param moveSoakFraction the part of a rollout's time that must pass before it completes, from 0
 *     to 1
 * @param versionLoadsAtOnce backend servers that may load a version at once
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

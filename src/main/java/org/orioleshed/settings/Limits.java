package org.orioleshed.settings;

/**
 * Limits of the whole fleet.
 *
 * @param claimRetentionMinutes how long the claim of a call that must not be repeated is kept
 * @param moveSpreadMillis how long before a move's time its outcome must be recorded
 * @param moveMaxUnprovenShare the most traffic that a new version gets before it has evidence, from
 *     0 to 1
 * @param moveSoakMillis how long a new version carries all traffic before a move completes
 * @param versionLoadsAtOnce backend servers that may load a version at once
 */
public record Limits(
        long claimRetentionMinutes,
        long moveSpreadMillis,
        double moveMaxUnprovenShare,
        long moveSoakMillis,
        int versionLoadsAtOnce) {}

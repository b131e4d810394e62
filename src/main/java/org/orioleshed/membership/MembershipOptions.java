package org.orioleshed.membership;

/**
 * Intervals, timeouts and bounds of membership.
 *
 * @param probeIntervalMillis the time between two pings that a host sends, in milliseconds
 * @param ackTimeoutMillis the time without an acknowledgement after which indirect pings are
 *     requested, in milliseconds
 * @param suspicionTimeoutMillis the time a suspect has to refute before it is declared dead, in
 *     milliseconds
 * @param gossipIntervalMillis the time between two gossip rounds, in milliseconds
 * @param gossipRounds the number of gossip rounds after a change
 * @param maxRumorAgeMillis how long a rumor is sent along with messages, in milliseconds
 * @param fanout the number of receivers per gossip round, and of indirect ping requests
 * @param seedIntervalMillis the time between two attempts to contact a host that is not in the
 *     view, in milliseconds
 * @param minSyncIntervalMillis the least time between two exchanges of whole views, in milliseconds
 * @param deadRetentionMillis how long records of dead hosts are kept, in milliseconds
 */
public record MembershipOptions(
        long probeIntervalMillis,
        long ackTimeoutMillis,
        long suspicionTimeoutMillis,
        long gossipIntervalMillis,
        int gossipRounds,
        long maxRumorAgeMillis,
        int fanout,
        long seedIntervalMillis,
        long minSyncIntervalMillis,
        long deadRetentionMillis) {
    /** The options of an entry host. */
    public static final MembershipOptions DEFAULT =
            new MembershipOptions(500, 200, 2_500, 200, 3, 5_000, 3, 1_000, 10_000, 60_000);
}

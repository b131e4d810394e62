package org.orioleshed.membership;

/**
 * Times and bounds of membership.
 *
 * @param probeMillis how often a host pings another
 * @param ackMillis how long an answer may take before others are asked to ping
 * @param suspicionMillis how long a suspect may refute before it is declared dead
 * @param newsMillis the time between two rounds in which news is handed on
 * @param newsRounds how many rounds follow a change
 * @param newsAgeMillis how long news rides on other messages
 * @param fanout how many hosts hear of it in each round, and how many are asked to ping
 * @param seedMillis how often one host that is not in the view is tried
 * @param compareMillis the least time between two exchanges of whole views
 * @param forgetMillis how long the dead are remembered
 */
public record MembershipOptions(
        long probeMillis,
        long ackMillis,
        long suspicionMillis,
        long newsMillis,
        int newsRounds,
        long newsAgeMillis,
        int fanout,
        long seedMillis,
        long compareMillis,
        long forgetMillis) {
    /** The times of an entry host. */
    public static final MembershipOptions DEFAULT =
            new MembershipOptions(500, 200, 2_500, 200, 3, 5_000, 3, 1_000, 10_000, 60_000);
}

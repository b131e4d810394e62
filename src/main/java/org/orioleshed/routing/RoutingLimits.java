package org.orioleshed.routing;

/**
 * The bounds and targets that routing decisions keep to.
 *
 * @param policy which decisions place requests
 * @param firstTokenMillis the target for the time to the first token at the 95th percentile, in
 *     milliseconds, positive
 * @param tokenGapMillis the target for the time between tokens at the 95th percentile, in
 *     milliseconds, positive
 * @param queueLength the most offers that wait for one backend server, positive
 * @param reservationMillis how long a granted place is kept for its request, in milliseconds,
 *     positive
 * @param maxPreemptions how often one request may be preempted before only a request that would
 *     otherwise be shed may preempt it again, not negative
 * @param firstTokenSilenceMillis a run without a first token for so long is given up, in
 *     milliseconds, positive
 * @param tokenSilenceMillis a started run without a token for so long is given up, in milliseconds,
 *     positive
 */
public record RoutingLimits(
        Policy policy,
        int firstTokenMillis,
        int tokenGapMillis,
        int queueLength,
        int reservationMillis,
        int maxPreemptions,
        int firstTokenSilenceMillis,
        int tokenSilenceMillis) {
    /** The limits of a host whose settings state none. */
    public static final RoutingLimits DEFAULTS =
            new RoutingLimits(Policy.ORIOLESHED, 1_600, 79, 1_024, 1_000, 2, 20_000, 5_000);

    /** Checks the arguments. */
    public RoutingLimits {
        if (policy == null) {
            throw new IllegalArgumentException("policy must be given");
        }
        requirePositive("firstTokenMillis", firstTokenMillis);
        requirePositive("tokenGapMillis", tokenGapMillis);
        requirePositive("queueLength", queueLength);
        requirePositive("reservationMillis", reservationMillis);
        requirePositive("firstTokenSilenceMillis", firstTokenSilenceMillis);
        requirePositive("tokenSilenceMillis", tokenSilenceMillis);
        if (maxPreemptions < 0) {
            throw new IllegalArgumentException(
                    "maxPreemptions must not be negative: " + maxPreemptions);
        }
    }

    /** Returns these limits with another policy. */
    public RoutingLimits withPolicy(Policy other) {
        return new RoutingLimits(
                other,
                firstTokenMillis,
                tokenGapMillis,
                queueLength,
                reservationMillis,
                maxPreemptions,
                firstTokenSilenceMillis,
                tokenSilenceMillis);
    }

    private static void requirePositive(String name, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}

package org.orioleshed.routing;

/**
 * The limits and latency targets of routing decisions.
 *
 * @param policy the policy by which requests are placed
 * @param firstTokenMillis the target for the time to the first token at the 95th percentile, in
 *     milliseconds, positive
 * @param tokenGapMillis the target for the time between tokens at the 95th percentile, in
 *     milliseconds, positive
 * @param queueLength the maximum number of offers that wait for one backend server, positive
 * @param reservationMillis how long a granted slot is reserved for its request, in milliseconds,
 *     positive
 * @param maxPreemptions the number of preemptions after which a request may be preempted only for
 *     an urgent request that would otherwise be shed, not negative
 * @param firstTokenSilenceMillis the time without a first token after which a run is cancelled, in
 *     milliseconds, positive
 * @param tokenSilenceMillis the time between tokens after which a run is cancelled, in
 *     milliseconds, positive
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

    /** Checks that the policy is given and that all numbers are in range. */
    public RoutingLimits {
        if (policy == null) {
            throw new IllegalArgumentException("policy must not be null");
        }
        requirePositive("firstTokenMillis", firstTokenMillis);
        requirePositive("tokenGapMillis", tokenGapMillis);
        requirePositive("queueLength", queueLength);
        requirePositive("reservationMillis", reservationMillis);
        requirePositive("firstTokenSilenceMillis", firstTokenSilenceMillis);
        requirePositive("tokenSilenceMillis", tokenSilenceMillis);
        if (maxPreemptions < 0) {
            throw new IllegalArgumentException(
                    "maxPreemptions must not be negative, found " + maxPreemptions);
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
            throw new IllegalArgumentException(name + " must be positive, found " + value);
        }
    }
}

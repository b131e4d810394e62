package org.orioleshed.request;

/**
 * The limits on the requests that a host accepts.
 *
 * @param offersAtOnce how many owners a request is offered to at first
 * @param offerRepeatMillis the delay before an unanswered offer is first repeated; doubles each
 *     time
 * @param widenMillis the delay before an ungranted request of the highest tier is offered to one
 *     more owner; eight times as long for each rank below
 * @param backoffBaseMillis the base of the backoff bound, which doubles with each failure
 * @param backoffMaxMillis the maximum backoff before any retry
 * @param maxFailures the number of failed runs after which a request fails
 * @param retryShare the retries added to the retry budget by each success
 * @param retryBurst the maximum of the retry budget
 * @param creditTokens the maximum number of tokens sent ahead of the slowest caller
 * @param cancelRepeatMillis the interval between repeats of an unanswered cancellation
 * @param gapMillis how long to wait for a missing piece of an answer
 * @param silenceMillis how long a run may send nothing, not counting prefill
 * @param noServerMillis how long a request waits for an available server
 * @param maxRequests the maximum number of requests in progress on the host; part of it is reserved
 *     for higher tiers
 * @param resultMillis how long final outcomes are cached for resends
 * @param resultBytes the maximum size of the cached outcomes, in bytes
 * @param directoryMillis how long to wait for replies of the key's directory hosts
 * @param orphanMillis how long a resend waits for the cancellation of a run left by a dead host
 * @param poisonMillis how long crashes of content are remembered, and thus how long it is
 *     quarantined
 * @param poisonEntries the maximum number of suspect and quarantined contents
 */
public record RequestLimits(
        int offersAtOnce,
        long offerRepeatMillis,
        long widenMillis,
        long backoffBaseMillis,
        long backoffMaxMillis,
        int maxFailures,
        double retryShare,
        int retryBurst,
        int creditTokens,
        long cancelRepeatMillis,
        long gapMillis,
        long silenceMillis,
        long noServerMillis,
        int maxRequests,
        long resultMillis,
        int resultBytes,
        long directoryMillis,
        long orphanMillis,
        long poisonMillis,
        int poisonEntries) {
    /** The default limits, for a small entry host. */
    public static final RequestLimits DEFAULTS =
            new RequestLimits(
                    2, 500, 250, 50, 2_000, 4, 0.2, 10, 256, 500, 1_000, 15_000, 2_000, 20_000,
                    120_000, 32 << 20, 100, 1_500, 600_000, 10_000);

    /** Validates the limits. */
    public RequestLimits {
        if (offersAtOnce < 1 || creditTokens < 1 || maxRequests < 1 || maxFailures < 1) {
            throw new IllegalArgumentException(
                    "offersAtOnce, creditTokens, maxRequests and maxFailures must be positive, found "
                            + offersAtOnce
                            + ", "
                            + creditTokens
                            + ", "
                            + maxRequests
                            + " and "
                            + maxFailures);
        }
        if (retryShare < 0 || retryBurst < 0) {
            throw new IllegalArgumentException(
                    "retryShare and retryBurst must not be negative, found "
                            + retryShare
                            + " and "
                            + retryBurst);
        }
    }
}

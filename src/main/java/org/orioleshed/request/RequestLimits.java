package org.orioleshed.request;

/**
 * The bounds that the accepting side keeps to.
 *
 * @param offersAtOnce how many owners get the first offer of a request
 * @param offerRepeatMillis when an unanswered offer is sent again first; doubles each time
 * @param widenMillis when an urgent offer without a grant goes to one more owner; eight times as
 *     long for each rank below
 * @param backoffBaseMillis the longest wait before the first retry; doubles each time
 * @param backoffMaxMillis the longest wait before any retry
 * @param maxFailures how many failed runs a request may have
 * @param retryShare how many retries each success allows
 * @param retryBurst how many retries may be saved up
 * @param creditTokens how many tokens may be under way to one caller
 * @param cancelRepeatMillis how often an unanswered cancellation is sent again
 * @param gapMillis how long a missing piece of an answer is waited for
 * @param silenceMillis how long a run may send nothing, prefill not counted
 * @param noServerMillis how long a request waits for a server to appear
 * @param maxRequests how many requests the host holds; lower tiers have to leave some room
 * @param resultMillis how long final outcomes are kept for resends
 * @param resultBytes how many bytes of final answers are kept for resends
 * @param directoryMillis how long the key's directory is waited for
 * @param orphanMillis how long a resend waits for the run that a dead host left to be cancelled
 * @param poisonMillis how long content that crashes servers is held
 * @param poisonEntries how many contents are kept under suspicion
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
    /** The bounds of a small entry host. */
    public static final RequestLimits DEFAULTS =
            new RequestLimits(
                    2, 500, 250, 50, 2_000, 4, 0.2, 10, 256, 500, 1_000, 15_000, 2_000, 20_000,
                    120_000, 32 << 20, 100, 1_500, 600_000, 10_000);

    /** Checks the arguments. */
    public RequestLimits {
        if (offersAtOnce < 1 || creditTokens < 1 || maxRequests < 1 || maxFailures < 1) {
            throw new IllegalArgumentException("counts must be positive");
        }
        if (retryShare < 0 || retryBurst < 0) {
            throw new IllegalArgumentException("the retry budget must not be negative");
        }
    }
}

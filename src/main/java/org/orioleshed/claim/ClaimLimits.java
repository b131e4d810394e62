package org.orioleshed.claim;

/**
 * The limits on claims.
 *
 * @param buckets the number of buckets; must be the same on all hosts
 * @param retentionMillis the minimum time that a claim is kept
 * @param waitMillis how long a claim waits for the store before its call ends as "not run"
 * @param storeTimeoutMillis the timeout of a store call
 * @param spacingMillis the minimum time between two writes of one head
 * @param recordDelayMillis how long an outcome may wait to be batched with a claim
 * @param headBytes the maximum size of a head, beyond which its claims move to a page
 * @param pageBytes the maximum size of a page
 * @param bodyBytes the maximum size of a service's answer that is stored with its claim
 */
public record ClaimLimits(
        int buckets,
        long retentionMillis,
        long waitMillis,
        long storeTimeoutMillis,
        long spacingMillis,
        long recordDelayMillis,
        int headBytes,
        int pageBytes,
        int bodyBytes) {
    /** The default limits. */
    public static final ClaimLimits DEFAULTS =
            new ClaimLimits(16, 7_200_000, 500, 300, 50, 200, 64 << 10, 512 << 10, 4 << 10);

    /** The maximum size of a value in the store. */
    private static final int STORE_VALUE_BYTES = 1 << 20;

    /** Validates the limits. */
    public ClaimLimits {
        if (buckets < 1) {
            throw new IllegalArgumentException("buckets must be positive, found " + buckets);
        }
        if (headBytes < 1 || pageBytes < headBytes || pageBytes + headBytes > STORE_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "headBytes must be positive, pageBytes at least headBytes, and their sum at most "
                            + STORE_VALUE_BYTES
                            + ", found headBytes "
                            + headBytes
                            + " and pageBytes "
                            + pageBytes);
        }
        if (retentionMillis <= 0 || waitMillis <= 0 || storeTimeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "retentionMillis, waitMillis and storeTimeoutMillis must be positive, found "
                            + retentionMillis
                            + ", "
                            + waitMillis
                            + " and "
                            + storeTimeoutMillis);
        }
    }
}

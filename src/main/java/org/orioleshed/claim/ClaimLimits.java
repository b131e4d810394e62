package org.orioleshed.claim;

/**
 * The bounds of claims.
 *
 * @param buckets how many heads the keys are divided over; the same on all hosts
 * @param retentionMillis how long a claim is kept at least
 * @param waitMillis how long a claim waits for the store before the call is "not run"
 * @param storeTimeoutMillis how long one call on the store may take
 * @param spacingMillis the least time between two writes of one head
 * @param recordDelayMillis how long an outcome may wait for a claim to be written with
 * @param headBytes the size at which a head's claims move to a page
 * @param pageBytes the size that a page may grow to
 * @param bodyBytes the longest answer of a service that is kept with its claim
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
    /** The bounds of a host whose settings state none. */
    public static final ClaimLimits DEFAULTS =
            new ClaimLimits(16, 7_200_000, 500, 300, 50, 200, 64 << 10, 512 << 10, 4 << 10);

    /** The largest value that the store takes, in bytes. */
    private static final int STORE_VALUE_BYTES = 1 << 20;

    /** Checks the arguments. */
    public ClaimLimits {
        if (buckets < 1) {
            throw new IllegalArgumentException("buckets must be positive: " + buckets);
        }
        if (headBytes < 1 || pageBytes < headBytes || pageBytes + headBytes > STORE_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "a page and a head together must fit into " + STORE_VALUE_BYTES + " bytes");
        }
        if (retentionMillis <= 0 || waitMillis <= 0 || storeTimeoutMillis <= 0) {
            throw new IllegalArgumentException("times must be positive");
        }
    }
}

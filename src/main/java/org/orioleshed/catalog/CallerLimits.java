package org.orioleshed.catalog;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request's head; positive
 * @param maxBodyBytes the most bytes of a request's body; positive
 * @param headerTimeoutMillis the longest time for a request's head, in milliseconds; positive
 * @param idleTimeoutMillis how long a connection may stay without a request, in milliseconds;
 *     positive
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** What holds until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

    /** Checks the arguments. */
    public CallerLimits {
        if (maxHeaderBytes <= 0
                || maxBodyBytes <= 0
                || headerTimeoutMillis <= 0
                || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}

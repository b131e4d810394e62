package org.orioleshed.catalog;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of a request's head, in bytes; positive
 * @param maxBodyBytes the maximum size of a request's body, in bytes; positive
 * @param headerTimeoutMillis the maximum time to receive a request's head, in milliseconds;
 *     positive
 * @param idleTimeoutMillis the maximum idle time of a connection, in milliseconds; positive
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until the first configuration is loaded. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

    /** Validates the arguments. */
    public CallerLimits {
        if (maxHeaderBytes <= 0
                || maxBodyBytes <= 0
                || headerTimeoutMillis <= 0
                || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "caller limits must be positive, found "
                            + maxHeaderBytes
                            + ", "
                            + maxBodyBytes
                            + ", "
                            + headerTimeoutMillis
                            + ", "
                            + idleTimeoutMillis);
        }
    }
}

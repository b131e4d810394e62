package org.orioleshed.backend;

/**
 * Timeouts and size limits of calls to backend servers.
 *
 * @param connectTimeoutMillis how long a connection may take to open, in milliseconds
 * @param acceptTimeoutMillis how long an engine may take to accept a run, in milliseconds
 * @param idleTimeoutMillis how long an open stream may receive no line before it counts as broken,
 *     in milliseconds
 * @param cancelTimeoutMillis how long one cancel call may take, in milliseconds
 * @param cancelAttempts the number of attempts to cancel a run before its end counts as unconfirmed
 * @param maxLineBytes the maximum length of a line of a stream, in bytes
 * @param maxBodyBytes the maximum length of a response of a plain service, in bytes
 */
public record BackendLimits(
        int connectTimeoutMillis,
        int acceptTimeoutMillis,
        int idleTimeoutMillis,
        int cancelTimeoutMillis,
        int cancelAttempts,
        int maxLineBytes,
        int maxBodyBytes) {
    /** The default limits. */
    public static final BackendLimits DEFAULT =
            new BackendLimits(500, 3_000, 3_000, 1_000, 3, 1 << 16, 1 << 20);
}

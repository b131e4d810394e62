package org.orioleshed.backend;

/**
 * Bounds on talking to backend servers.
 *
 * @param connectTimeoutMillis how long a connection may take to open, in milliseconds
 * @param acceptMillis how long an engine may take to accept a run, in milliseconds
 * @param silenceMillis how long an open stream may stay without a byte before it counts as broken,
 *     in milliseconds
 * @param cancelTimeoutMillis how long one cancel call may take, in milliseconds
 * @param cancelTries how often a cancel is tried before its run counts as not known to have ended
 * @param maxLineBytes the longest line of a stream, in bytes
 * @param maxBodyBytes the longest answer of a plain service, in bytes
 */
public record BackendLimits(
        int connectTimeoutMillis,
        int acceptMillis,
        int silenceMillis,
        int cancelTimeoutMillis,
        int cancelTries,
        int maxLineBytes,
        int maxBodyBytes) {
    /** The bounds used unless the settings say otherwise. */
    public static final BackendLimits DEFAULT =
            new BackendLimits(500, 3_000, 3_000, 1_000, 3, 1 << 16, 1 << 20);
}

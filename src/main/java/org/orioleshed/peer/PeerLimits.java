package org.orioleshed.peer;

/**
 * Limits of links between entry hosts.
 *
 * @param maxFrameBytes the longest frame, in bytes
 * @param maxPendingBytes the most unacknowledged bytes on one lane
 * @param bulkBytes the size from which a message uses the bulk lane, in bytes
 * @param ackRequestIntervalMillis the interval at which a connection requests outstanding
 *     acknowledgements, in milliseconds
 * @param silenceTimeoutMillis how long a connection with unacknowledged frames may be silent before
 *     it is replaced, in milliseconds
 * @param maxDownMillis how long a link may be down before its pending messages are dropped, in
 *     milliseconds
 * @param idleTimeoutMillis how long a connection without messages stays open, in milliseconds
 * @param reconnectDelayMillis the least time between two connection attempts, in milliseconds
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxPendingBytes,
        int bulkBytes,
        int ackRequestIntervalMillis,
        int silenceTimeoutMillis,
        int maxDownMillis,
        int idleTimeoutMillis,
        int reconnectDelayMillis) {
    /** The default limits. */
    public static final PeerLimits DEFAULT =
            new PeerLimits(4 << 20, 8 << 20, 8 << 10, 500, 1_500, 3_000, 10_000, 200);
}

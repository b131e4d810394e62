package org.orioleshed.peer;

/**
 * Bounds on links between entry hosts.
 *
 * @param maxFrameBytes the longest frame, in bytes
 * @param maxPendingBytes the most bytes that wait on one lane for the other side's acknowledgement
 * @param bulkBytes the size from which a message goes on the bulk lane, in bytes
 * @param aliveIntervalMillis how often a connection asks for what is not acknowledged, in
 *     milliseconds
 * @param silenceMillis how long a connection may be silent while something waits on it before it is
 *     replaced, in milliseconds
 * @param giveUpMillis how long a link may be down before what waits on it is dropped, in
 *     milliseconds
 * @param idleMillis how long a connection without messages stays open, in milliseconds
 * @param redialMillis the pause between two tries to connect, in milliseconds
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxPendingBytes,
        int bulkBytes,
        int aliveIntervalMillis,
        int silenceMillis,
        int giveUpMillis,
        int idleMillis,
        int redialMillis) {
    /** The bounds used unless the settings say otherwise. */
    public static final PeerLimits DEFAULT =
            new PeerLimits(4 << 20, 8 << 20, 8 << 10, 500, 1_500, 3_000, 10_000, 200);
}

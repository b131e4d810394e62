package org.orioleshed.entry;

/**
 * Bounds on what an entry host takes in.
 *
 * @param ringEvents the room of the ring before the decisions, a power of two
 * @param maxOpenRequests the most requests of callers that may be open at once
 * @param urgentReserve how many of those are kept for the most urgent tier
 * @param maxBodyBytes the longest body, in bytes
 * @param tickMillis the time between two ticks of the decisions, in milliseconds
 * @param aliveMillis the time between two signs of life to a waiting caller, in milliseconds
 * @param streamAfterMillis how long a streaming caller waits for its status before its stream is
 *     opened all the same, in milliseconds
 * @param logLines the room of the ring of decisions to be logged, a power of two
 */
record EntryLimits(
        int ringEvents,
        int maxOpenRequests,
        int urgentReserve,
        int maxBodyBytes,
        int tickMillis,
        int aliveMillis,
        int streamAfterMillis,
        int logLines) {
    static final EntryLimits DEFAULT =
            new EntryLimits(1 << 16, 4_000, 800, 1 << 20, 10, 500, 1_000, 1 << 13);
}

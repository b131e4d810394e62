package org.orioleshed.entry;

/**
 * Resource limits of an entry host.
 *
 * @param eventRingCapacity the capacity of the event loop's ring buffer, a power of two
 * @param maxOpenRequests the largest number of open requests
 * @param urgentReserve how many of those are reserved for the most urgent tier
 * @param maxBodyBytes the longest request body, in bytes
 * @param tickMillis the interval between ticks of the event loop, in milliseconds
 * @param keepAliveMillis the interval between keep-alive comments to a waiting caller, in
 *     milliseconds
 * @param streamAfterMillis the longest time before the response headers of a stream are sent, even
 *     without a token, in milliseconds
 * @param logRingCapacity the capacity of the decision log's ring buffer, a power of two
 */
record EntryLimits(
        int eventRingCapacity,
        int maxOpenRequests,
        int urgentReserve,
        int maxBodyBytes,
        int tickMillis,
        int keepAliveMillis,
        int streamAfterMillis,
        int logRingCapacity) {
    static final EntryLimits DEFAULT =
            new EntryLimits(1 << 16, 4_000, 800, 1 << 20, 10, 500, 1_000, 1 << 13);
}

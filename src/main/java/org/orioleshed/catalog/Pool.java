package org.orioleshed.catalog;

import org.orioleshed.model.ServiceId;

/**
 * A pool of servers for one service, as declared by operators.
 *
 * @param service the service
 * @param engine whether its servers are model engines
 * @param memoryTokens the capacity of an engine's memory, in tokens; 0 if not declared
 * @param eventTokens the tokens in each event of a stream; at least 1
 * @param warmupMillis how long a server is cold after its start, in milliseconds; 0 if never
 * @param warmupPerSecond the requests that a cold server accepts per second; 0 if servers are never
 *     cold
 */
public record Pool(
        ServiceId service,
        boolean engine,
        long memoryTokens,
        int eventTokens,
        long warmupMillis,
        double warmupPerSecond) {
    /** Makes a pool whose servers are never cold. */
    public Pool(ServiceId service, boolean engine, long memoryTokens, int eventTokens) {
        this(service, engine, memoryTokens, eventTokens, 0, 0);
    }

    /** Returns whether servers of this pool may be cold. */
    public boolean hasWarmup() {
        return warmupPerSecond > 0;
    }
}

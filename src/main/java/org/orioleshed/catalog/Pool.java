package org.orioleshed.catalog;

import org.orioleshed.model.ServiceId;

/**
 * A pool of servers for one service, as declared by operators.
 *
 * @param service the service
 * @param engine whether its servers are model engines
 * @param memoryTokens the capacity of an engine's memory, in tokens; 0 if not declared
 * @param eventTokens the tokens in each event of a stream; at least 1
 */
public record Pool(ServiceId service, boolean engine, long memoryTokens, int eventTokens) {}

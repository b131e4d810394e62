package org.orioleshed.catalog;

import org.orioleshed.model.ServiceId;

/**
 * A service, as operators declare it.
 *
 * @param service its name
 * @param engine whether its servers are model engines
 * @param memoryTokens the tokens that an engine's memory holds; 0 where none are declared
 * @param eventTokens the tokens that one event of a stream holds; at least 1
 */
public record Pool(ServiceId service, boolean engine, long memoryTokens, int eventTokens) {}

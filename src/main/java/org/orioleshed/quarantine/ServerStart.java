package org.orioleshed.quarantine;

import org.orioleshed.model.ServerId;

/**
 * One start of a server.
 *
 * @param id the server
 * @param startMillis when it started, as its entry states; 0 if it states none
 */
public record ServerStart(ServerId id, long startMillis) {}

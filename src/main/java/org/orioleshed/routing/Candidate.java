package org.orioleshed.routing;

import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * A backend server that a request may be offered to.
 *
 * @param server the server
 * @param owner the server's owner, where the offer goes
 * @param scoreMillis the expected time to the end of the answer plus penalties, in milliseconds;
 *     lower is better
 * @param waitMillis the expected wait for a slot, in milliseconds
 * @param uncachedTokens the tokens of the prompt that are not in the server's prefix cache, as
 *     estimated by this host
 */
public record Candidate(
        ServerId server, HostId owner, long scoreMillis, long waitMillis, int uncachedTokens) {
    /** Returns the server and its score, as {@code server:score}, for the log. */
    @Override
    public String toString() {
        return server + ":" + scoreMillis;
    }
}

package org.orioleshed.gateway;

import org.orioleshed.dispatch.StatedLimit;

/**
 * What a server's header fields say of its answer.
 *
 * @param id the id of the request that it answers; empty where it states none
 * @param signed whether the server vouches for the answer
 * @param notRun whether the server states that it did not run the request
 * @param keepMillis how long the server keeps the idle connection, in milliseconds; negative where
 *     it does not say
 * @param leaving whether the server states that it is about to leave
 * @param restMillis how long the server wants nothing from this host, in milliseconds; 0 where it
 *     states nothing of the kind
 * @param limit how many requests the server takes from all hosts together
 */
public record ResponseHeaders(
        String id,
        boolean signed,
        boolean notRun,
        long keepMillis,
        boolean leaving,
        long restMillis,
        StatedLimit limit) {}

package org.orioleshed.gateway;

/**
 * What a server's header fields say of its answer.
 *
 * @param id the id of the request that it answers; empty where it states none
 * @param signed whether the server vouches for the answer
 * @param notRun whether the server states that it did not run the request
 * @param keepMillis how long the server keeps the idle connection, in milliseconds; negative where
 *     it does not say
 */
public record AnswerFacts(String id, boolean signed, boolean notRun, long keepMillis) {}

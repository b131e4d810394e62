package org.orioleshed.standin;

/**
 * A run recorded by a stand-in.
 *
 * @param server the id of the stand-in
 * @param version the version that ran it
 * @param run the id of the run
 * @param tag the tag in the content, the same for all runs of a request
 * @param startedMillis the time of admission to the batch, in milliseconds since the epoch; zero if
 *     it was not admitted
 * @param endedMillis the end, in milliseconds since the epoch; zero while it runs
 * @param prefillTokens the number of prefilled tokens
 * @param finished whether it ran to completion
 */
public record RunRecord(
        String server,
        String version,
        String run,
        String tag,
        long startedMillis,
        long endedMillis,
        int prefillTokens,
        boolean finished) {}

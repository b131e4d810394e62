package org.orioleshed.standin;

/**
 * A run as a stand-in saw it.
 *
 * @param server the stand-in's id
 * @param version the version that ran it
 * @param run the run's id
 * @param tag the tag in the request's content, the same for each run of one request
 * @param startedMillis when it was taken into the batch, in milliseconds since the epoch; zero when
 *     it never was
 * @param endedMillis when it ended, in milliseconds since the epoch; zero while it runs
 * @param prefillTokens the tokens that were prefilled for it
 * @param finished whether it came to its end
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

package org.orioleshed.standin;

/**
 * The configuration of a stand-in engine.
 *
 * @param id the backend server's id
 * @param port the loopback port
 * @param model the initial model
 * @param version the initial version
 * @param stepMillis the time of one decode step with one run, in milliseconds; zero for none
 * @param stepMillisPerRun the time that each additional run adds to a step, in milliseconds
 * @param prefillTokensPerSecond the prefill rate, in tokens per second; zero for no prefill time
 * @param maxBatch the maximum number of runs in a batch; further runs wait in order of arrival
 * @param cacheTokens the size of the prefix cache, in tokens
 * @param checksFencing whether orders with a stale fencing number are refused
 */
public record EngineSpec(
        String id,
        int port,
        String model,
        String version,
        double stepMillis,
        double stepMillisPerRun,
        double prefillTokensPerSecond,
        int maxBatch,
        int cacheTokens,
        boolean checksFencing) {}

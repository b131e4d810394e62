package org.orioleshed.standin;

/**
 * A stand-in engine.
 *
 * @param id the backend server's id
 * @param port the loopback port
 * @param model the model that it runs at first
 * @param version the version that it runs at first
 * @param stepMillis the time of one decoding step with one run, in milliseconds; zero for none
 * @param stepMillisPerRun the time that each further run adds to a step, in milliseconds
 * @param prefillTokensPerSecond the prefill speed; zero for no cost at all
 * @param maxBatch the most runs in a batch; the others wait in order of arrival
 * @param cacheTokens the size of the prefix cache, in tokens
 * @param checksFencing whether an order with an old fencing number is refused
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

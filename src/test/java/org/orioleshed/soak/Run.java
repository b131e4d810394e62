package org.orioleshed.soak;

/**
 * One arrival of a request at a server, and its execution there if it was not refused.
 *
 * @param zone the failure domain of the server
 * @param startedNanos the start time of the execution; 0 where it was refused
 * @param workspace the workspace that the request's header named; empty where it named none
 * @param keyPassed whether the request had the caller's API key
 */
record Run(
        String id,
        String server,
        String zone,
        long arrivedNanos,
        long startedNanos,
        long endNanos,
        String workspace,
        boolean keyPassed,
        End end) {
    /** How the execution ended. */
    enum End {
        REFUSED,
        COMPLETE,
        DEADLINE,
        ABORTED
    }

    boolean hasRun() {
        return startedNanos != 0;
    }
}

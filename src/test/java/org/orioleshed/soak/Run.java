package org.orioleshed.soak;

/**
 * One arrival of a request at a server, and the work on it if there was any.
 *
 * @param beganNanos when the work began; 0 where it never did
 * @param workspace whose the server was told it is
 * @param keyPassed whether the server got the caller's key
 */
record Run(
        String id,
        String server,
        long arrivedNanos,
        long beganNanos,
        long endNanos,
        String workspace,
        boolean keyPassed,
        End end) {
    /** How the work ended. */
    enum End {
        REFUSED,
        COMPLETE,
        DEADLINE,
        CUT
    }

    boolean hasRun() {
        return beganNanos != 0;
    }
}

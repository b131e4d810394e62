package org.orioleshed.gateway;

import org.orioleshed.dispatch.StatedLimit;

/**
 * The values read from the header fields of a server's response.
 *
 * @param id the id of the request to which the server responds; empty if absent
 * @param signed whether the response bears the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param keepAliveMillis how long the server keeps an idle connection open, in milliseconds;
 *     negative if not stated
 * @param leaving whether the server states that it is leaving
 * @param backoffMillis how long this host must send the server nothing, in milliseconds; 0 if not
 *     stated
 * @param limit the request rate that the server accepts from all hosts together
 * @param warmupMillis how much longer the server is cold, in milliseconds; 0 if not stated
 * @param brittle the rejections per second above which the server crashes
 */
public record ResponseHeaders(
        String id,
        boolean signed,
        boolean notRun,
        long keepAliveMillis,
        boolean leaving,
        long backoffMillis,
        StatedLimit limit,
        long warmupMillis,
        StatedLimit brittle) {
    /** Makes the values of a response that states nothing of a warm-up. */
    public ResponseHeaders(
            String id,
            boolean signed,
            boolean notRun,
            long keepAliveMillis,
            boolean leaving,
            long backoffMillis,
            StatedLimit limit) {
        this(id, signed, notRun, keepAliveMillis, leaving, backoffMillis, limit, 0);
    }

    /** Makes the values of a response that does not state that the server is brittle. */
    public ResponseHeaders(
            String id,
            boolean signed,
            boolean notRun,
            long keepAliveMillis,
            boolean leaving,
            long backoffMillis,
            StatedLimit limit,
            long warmupMillis) {
        this(
                id,
                signed,
                notRun,
                keepAliveMillis,
                leaving,
                backoffMillis,
                limit,
                warmupMillis,
                StatedLimit.NONE);
    }
}

package org.orioleshed.soak;

/**
 * One attempt of a caller and its result.
 *
 * @param keepAlive whether the attempt used a persistent connection
 * @param sentNanos the time just before the request, or its last part, was written
 * @param hasExpectedBody whether all received body bytes are the expected ones
 */
record Call(
        String id,
        Request request,
        int host,
        boolean keepAlive,
        long sentNanos,
        long endNanos,
        End end,
        int status,
        long retryAfterMillis,
        boolean hasExpectedBody,
        String detail) {
    /** How an attempt ended for its caller. */
    enum End {
        /** The complete response was received. */
        COMPLETE,
        /** The connection ended before the complete response was received. */
        BROKEN,
        /** No connection could be opened, so the request was not sent. */
        UNSENT,
        /** The caller cancelled by closing the connection. */
        CANCELLED,
        /** The response was not complete when the caller's deadline had passed. */
        TIMED_OUT
    }

    /**
     * What a caller requests.
     *
     * @param key the workspace's API key
     * @param tokens the prompt tokens
     * @param parts the parts of the prompt, as in its header; empty for none
     * @param deadlineMillis the deadline, from the time of sending
     * @param cancelAfterMillis the time after which the caller cancels; at or above the deadline
     *     where it does not cancel
     */
    record Request(
            CallKind kind,
            Work work,
            String key,
            int tokens,
            String parts,
            long deadlineMillis,
            long cancelAfterMillis) {
        static Request of(CallKind kind, Work work, String key, int tokens, long deadlineMillis) {
            return new Request(kind, work, key, tokens, "", deadlineMillis, Long.MAX_VALUE);
        }

        Request cancelledAfter(long millis) {
            return new Request(kind, work, key, tokens, parts, deadlineMillis, millis);
        }

        Request withParts(String newParts) {
            return new Request(
                    kind, work, key, tokens, newParts, deadlineMillis, cancelAfterMillis);
        }

        boolean hasDeadlyPart() {
            return DeadlyPart.isIn(parts);
        }
    }

    /** Returns an attempt for which no connection could be opened. */
    static Call unsent(String id, Request request, int host, String detail) {
        long nowNanos = System.nanoTime();
        return new Call(
                id, request, host, false, nowNanos, nowNanos, End.UNSENT, 0, 0, true, detail);
    }

    boolean succeeded() {
        return end == End.COMPLETE && status == 200;
    }

    /** Returns whether the response states that the request has not run and will not run. */
    boolean confirmsNotRun() {
        return end == End.COMPLETE
                && (status == 408 || status == 421 || status == 429 || status == 503);
    }
}

package org.orioleshed.load;

import java.util.List;

/**
 * The result of a planned request.
 *
 * @param request the request
 * @param end the final outcome
 * @param inTime whether a complete, correct answer was received before the deadline
 * @param right whether no incorrect answer was received
 * @param firstTokenMillis the time from arrival to the first byte of the answer, in milliseconds;
 *     negative if there was none
 * @param sends all sends of the request, in order
 */
record Result(
        PlannedRequest request,
        End end,
        boolean inTime,
        boolean right,
        long firstTokenMillis,
        List<Send> sends) {
    /** Final outcomes. */
    enum End {
        ANSWERED,
        FAILED,
        NOT_RUN,
        IN_DOUBT,
        LOST
    }

    /**
     * One send of a request.
     *
     * @param host the id of the entry host
     * @param startMillis the time of the send, in milliseconds since the epoch
     * @param endMillis the time of the reply, in milliseconds since the epoch
     * @param word the label of the reply, as {@link Reply#label}
     * @param code the error code, or the detail of a broken reply; empty otherwise
     */
    record Send(String host, long startMillis, long endMillis, String word, String code) {}

    /** Copies the list. */
    Result {
        sends = List.copyOf(sends);
    }
}

package org.orioleshed.load;

import java.util.List;

/**
 * What became of a request.
 *
 * @param request the request
 * @param end the final outcome
 * @param inTime whether the whole answer came before the deadline
 * @param right whether no wrong answer came; true when none came
 * @param firstTokenMillis the time from arrival to the first byte of the answer, in milliseconds;
 *     negative when none came
 * @param sends each time that the request was sent, in order
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
     * One send.
     *
     * @param host the entry host
     * @param startMillis when it was sent, in milliseconds since the epoch
     * @param endMillis when its reply was known
     * @param word the reply, as {@link Reply#word}
     * @param code the error code; empty when there is none
     */
    record Send(String host, long startMillis, long endMillis, String word, String code) {}

    /** Copies the list. */
    Result {
        sends = List.copyOf(sends);
    }
}

package org.orioleshed.dispatch;

/**
 * How a run on a server ended.
 *
 * @param outcome the outcome
 * @param events the number of events in its stream; 0 for a plain service
 * @param firstMillis the time to the first event or to the answer, in milliseconds; 0 if there was
 *     none
 * @param totalMillis the total time on the server, in milliseconds
 * @param streamedMillis the time from the first event to the last one, in milliseconds; 0 for a
 *     plain service
 * @param limit the rate limit that the server stated in its answer; unknown if it was reported with
 *     the first event already
 * @param brittle the rejections per second above which the server crashes, as it stated in its
 *     answer; unknown if it was reported with the first event already
 */
public record RunReport(
        Outcome outcome,
        int events,
        long firstMillis,
        long totalMillis,
        long streamedMillis,
        StatedLimit limit,
        StatedLimit brittle) {
    /**
     * Makes a report without a stated rate limit, of a run whose last event, if any, was just
     * before its end.
     */
    public RunReport(Outcome outcome, int events, long firstMillis, long totalMillis) {
        this(outcome, events, firstMillis, totalMillis, StatedLimit.UNKNOWN);
    }

    /** Makes a report of a run whose last event, if any, was just before its end. */
    public RunReport(
            Outcome outcome, int events, long firstMillis, long totalMillis, StatedLimit limit) {
        this(
                outcome,
                events,
                firstMillis,
                totalMillis,
                events == 0 ? 0 : Math.max(0, totalMillis - firstMillis),
                limit,
                StatedLimit.UNKNOWN);
    }

    /** The outcome of a run. */
    public enum Outcome {
        /** The caller disconnected, or the run was never sent. */
        CANCELLED,
        /** A complete answer. */
        ANSWERED,
        /** A complete answer that reports a server error. */
        FAILED,
        /** The server stated that it did not run the request. */
        REJECTED,
        /** No connection to the server. */
        UNREACHABLE,
        /** The answer was incomplete or invalid. */
        BROKEN,
        /** No answer within the time limit. */
        TIMED_OUT,
        /** The address belongs to another server. */
        MISDIRECTED;

        /** Returns whether the outcome counts as a fault of the server. */
        boolean isFault() {
            return switch (this) {
                case FAILED, UNREACHABLE, BROKEN, TIMED_OUT -> true;
                case CANCELLED, ANSWERED, REJECTED, MISDIRECTED -> false;
            };
        }
    }
}

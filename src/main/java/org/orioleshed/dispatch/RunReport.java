package org.orioleshed.dispatch;

/**
 * How a run at a server ended.
 *
 * @param outcome what came of it
 * @param events the events of its stream; 0 for a plain service
 * @param firstMillis the time to the first event or to the answer, in milliseconds; 0 where none
 *     came
 * @param totalMillis the whole time at the server, in milliseconds
 * @param limit what the answer says of how many requests its server takes; unknown where that was
 *     told with its first event
 */
public record RunReport(
        Outcome outcome, int events, long firstMillis, long totalMillis, StatedLimit limit) {
    /** Makes one that says nothing of the server's limit. */
    public RunReport(Outcome outcome, int events, long firstMillis, long totalMillis) {
        this(outcome, events, firstMillis, totalMillis, StatedLimit.UNKNOWN);
    }

    /** What came of a run. */
    public enum Outcome {
        /** Its caller left, or it was never sent. */
        CANCELLED,
        /** A whole answer. */
        ANSWERED,
        /** A whole answer that reports a failure of the server. */
        FAILED,
        /** The server stated that it did not run it. */
        REJECTED,
        /** No connection to the server. */
        UNREACHABLE,
        /** The answer broke off, or was none. */
        BROKEN,
        /** No answer in time. */
        TIMED_OUT,
        /** Another server has the address. */
        MISDIRECTED;

        /** Returns whether it speaks against the server. */
        boolean isFault() {
            return switch (this) {
                case FAILED, UNREACHABLE, BROKEN, TIMED_OUT -> true;
                case CANCELLED, ANSWERED, REJECTED, MISDIRECTED -> false;
            };
        }
    }
}

package org.orioleshed.load;

/** The reply to one send of a request. */
sealed interface Reply {
    /** A complete answer; {@code correct} if it has the expected content. */
    record Complete(boolean correct) implements Reply {}

    /**
     * An error reply with a code.
     *
     * @param executionStatus {@code not_run}, {@code in_doubt} or {@code failed}
     * @param retryAfterMillis the delay before a retry, in milliseconds; negative for no retry
     */
    record ErrorReply(String code, String executionStatus, long retryAfterMillis)
            implements Reply {}

    /** The connection broke, or the response is malformed. */
    record Broken(String detail) implements Reply {}

    /** No complete reply until the grace period after the deadline ended. */
    record TimedOut() implements Reply {}

    /** Returns the label of the reply in the results. */
    default String label() {
        return switch (this) {
            case Complete complete -> "answered";
            case ErrorReply error -> error.executionStatus();
            case Broken broken -> "broken";
            case TimedOut timedOut -> "silence";
        };
    }
}

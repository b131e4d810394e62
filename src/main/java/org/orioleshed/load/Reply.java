package org.orioleshed.load;

/** What came back for one send of a request. */
sealed interface Reply {
    /** The whole answer came. */
    record Whole(boolean right) implements Reply {}

    /**
     * An error with its code.
     *
     * @param ran {@code not_run}, {@code in_doubt} or {@code failed}
     * @param retryAfterMillis when to send again, in milliseconds; negative when that is useless
     */
    record Refusal(String code, String ran, long retryAfterMillis) implements Reply {}

    /** The connection broke, or what came made no sense. */
    record Broken(String detail) implements Reply {}

    /** Nothing more came until long after the deadline. */
    record Silence() implements Reply {}

    /** Returns a short word for logs and the record of sends. */
    default String word() {
        return switch (this) {
            case Whole whole -> "answered";
            case Refusal refusal -> refusal.ran();
            case Broken broken -> "broken";
            case Silence silence -> "silence";
        };
    }
}

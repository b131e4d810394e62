package org.orioleshed.soak;

/** One attempt of a caller, and what came of it. */
final class Call {
    /** How an attempt ended for its caller. */
    enum End {
        /** A whole answer came. */
        WHOLE,
        /** The connection ended before a whole answer. */
        BROKEN,
        /** The request could not be sent at all. */
        UNSENT,
        /** The caller left. */
        LEFT,
        /** The caller waited to its deadline in vain. */
        SILENT
    }

    /**
     * What a caller asks.
     *
     * @param key the workspace's key
     * @param tokens the prompt tokens and the largest number of output tokens
     * @param deadlineMillis how long the caller waits
     * @param leaveMillis when the caller leaves; after the deadline where it does not
     */
    record Ask(
            CallKind kind,
            Work work,
            String key,
            int tokens,
            long deadlineMillis,
            long leaveMillis) {}

    private final String id;
    private final Ask ask;
    private final int host;
    private final boolean kept;
    private long sentNanos;
    private long endNanos;
    private End end = End.UNSENT;
    private int status;
    private long retryAfterMillis;
    private String detail = "";
    private boolean bodyRight;

    Call(String id, Ask ask, int host, boolean kept) {
        this.id = id;
        this.ask = ask;
        this.host = host;
        this.kept = kept;
    }

    void sent(long nowNanos) {
        sentNanos = nowNanos;
    }

    void ended(End how, String why, long nowNanos) {
        end = how;
        detail = why;
        endNanos = nowNanos;
    }

    void answered(int answerStatus, long answerRetryAfterMillis) {
        status = answerStatus;
        retryAfterMillis = answerRetryAfterMillis;
    }

    void body(boolean right) {
        bodyRight = right;
    }

    String id() {
        return id;
    }

    Ask ask() {
        return ask;
    }

    int host() {
        return host;
    }

    long sentNanos() {
        return sentNanos;
    }

    long endNanos() {
        return endNanos;
    }

    End end() {
        return end;
    }

    int status() {
        return status;
    }

    long retryAfterMillis() {
        return retryAfterMillis;
    }

    String detail() {
        return detail;
    }

    boolean hasRightBody() {
        return bodyRight;
    }

    boolean succeeded() {
        return end == End.WHOLE && status == 200;
    }

    /** Returns whether the answer says that the request has not run and never will. */
    boolean isPromise() {
        return end == End.WHOLE
                && (status == 408 || status == 421 || status == 429 || status == 503);
    }

    @Override
    public String toString() {
        return "%s %s host=%d kept=%s end=%s status=%d deadline_ms=%d detail=\"%s\""
                .formatted(
                        id,
                        ask.work().path(),
                        host,
                        kept,
                        end,
                        status,
                        ask.deadlineMillis(),
                        detail);
    }
}

package org.orioleshed.model;

/** The final answer to a request: exactly one of these reaches the caller. */
public sealed interface Outcome {
    /**
     * The request ran, and the caller has the complete answer.
     *
     * @param tokens the number of tokens generated, zero for a plain service
     * @param body the answer of a plain service; empty for a model, whose tokens were streamed
     *     earlier
     */
    record Answered(int tokens, Payload body) implements Outcome {}

    /**
     * The request ran and failed.
     *
     * @param reason the reason
     * @param detail a description for the caller
     */
    record Failed(FailReason reason, String detail) implements Outcome {}

    /**
     * The request did not run on any backend server, and will not.
     *
     * @param reason the reason
     * @param retryAfterMillis how long the caller should wait before a retry, in milliseconds;
     *     negative if a retry cannot succeed
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {}

    /**
     * The request was sent, and it is unknown whether it ran. It is never sent again.
     *
     * @param detail a description for the caller
     */
    record InDoubt(String detail) implements Outcome {}

    /** Why a request failed. */
    enum FailReason {
        /** The backend server answered with an error. */
        BACKEND_ERROR,
        /** The deadline passed while the request ran. */
        DEADLINE,
        /** The content crashed backend servers earlier. */
        POISON,
        /** The caller left. */
        CALLER_GONE,
        /** The run was interrupted and no retries are left. */
        RETRIES_SPENT,
        /** The backend server refused the content. */
        REFUSED
    }

    /** Why a request did not run. */
    enum NotRunReason {
        /** No slot became available before the deadline. */
        OVERLOAD,
        /** The workspace exceeded its limit. */
        WORKSPACE_LIMIT,
        /** The deadline passed while the request waited. */
        DEADLINE,
        /** The host is shutting down. */
        DRAINING,
        /** The platform's store is unavailable and the call needs a claim. */
        STORE_AWAY,
        /** No backend server for the route is reachable. */
        NO_SERVER,
        /** The content is quarantined because it crashed backend servers. */
        POISON,
        /** The caller left while the request waited. */
        CALLER_GONE,
        /** The host that held the waiting request died. */
        HOST_LOST
    }
}

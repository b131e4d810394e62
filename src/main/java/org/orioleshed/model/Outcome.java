package org.orioleshed.model;

/** The final answer to a request: exactly one of these reaches the caller. */
public sealed interface Outcome {
    /**
     * The request ran and the caller has its whole answer.
     *
     * @param tokens the number of tokens generated, zero for a plain service
     * @param body the answer of a plain service; empty for a model, whose tokens were streamed
     *     before
     */
    record Answered(int tokens, Payload body) implements Outcome {}

    /**
     * The request ran, and failed.
     *
     * @param reason why
     * @param detail a sentence for the caller
     */
    record Failed(FailReason reason, String detail) implements Outcome {}

    /**
     * The request did not run on any backend server, and will not.
     *
     * @param reason why
     * @param retryAfterMillis when to send again, in milliseconds; negative when sending again is
     *     useless
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {}

    /**
     * The request was sent, and whether it ran cannot be told. It is never sent again.
     *
     * @param detail a sentence for the caller
     */
    record InDoubt(String detail) implements Outcome {}

    /** Why a request failed. */
    enum FailReason {
        /** The backend server answered with an error. */
        BACKEND_ERROR,
        /** The deadline passed while the request ran. */
        DEADLINE,
        /** The content crashed backend servers before. */
        POISON,
        /** The caller left. */
        CALLER_GONE,
        /** The run broke off and its retries are spent. */
        RETRIES_SPENT,
        /** The backend server refused the content. */
        REFUSED
    }

    /** Why a request was not run. */
    enum NotRunReason {
        /** No place could be had before the deadline. */
        OVERLOAD,
        /** The workspace is over its limit. */
        WORKSPACE_LIMIT,
        /** The deadline passed while the request waited. */
        DEADLINE,
        /** The host is shutting down. */
        DRAINING,
        /** The platform's store is away and the call needs a claim. */
        STORE_AWAY,
        /** No backend server for the route can be reached. */
        NO_SERVER,
        /** The content is held because it crashed backend servers. */
        POISON,
        /** The caller left while the request waited. */
        CALLER_GONE,
        /** The host that held the waiting request died. */
        HOST_LOST
    }
}

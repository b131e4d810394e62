package org.orioleshed.dispatch;

import org.orioleshed.model.ServerId;

/** A decision of a scheduler, for the host that accepted the request. */
public sealed interface DispatchAction {
    /** Returns the run that the decision is for. */
    RunKey run();

    /**
     * The request is to be sent to a server.
     *
     * @param run the run
     * @param server the chosen server
     * @param why the inputs of the decision, for the log
     */
    record Grant(RunKey run, ServerId server, String why) implements DispatchAction {}

    /** The request is queued. */
    record Queued(RunKey run) implements DispatchAction {}

    /**
     * The request is refused; it has not run.
     *
     * @param run the run
     * @param reason the reason
     * @param retryAfterMillis when to retry, in milliseconds from now
     */
    record Refuse(RunKey run, Reason reason, long retryAfterMillis) implements DispatchAction {}

    /** Why a request is refused. */
    enum Reason {
        /** Its workspace's quota is used up. */
        QUOTA,
        /** It can't be answered in time. */
        OVERLOAD,
        /** The pool has no server that may run it. */
        NO_SERVER,
        /** Its content is quarantined because it crashed the servers that ran it. */
        HELD
    }
}

package org.orioleshed.dispatch;

import org.orioleshed.model.ServerId;

/** What a scheduler wants told to the host that accepted a request. */
public sealed interface DispatchAction {
    /** Returns the run concerned. */
    RunKey run();

    /**
     * Send the request to a server.
     *
     * @param run the run
     * @param server where to
     * @param why the inputs of the choice, for the log
     */
    record Grant(RunKey run, ServerId server, String why) implements DispatchAction {}

    /** The request waits. */
    record Queued(RunKey run) implements DispatchAction {}

    /**
     * The request is turned away; it has not run.
     *
     * @param run the run
     * @param reason why
     * @param retryAfterMillis when it would fare better, in milliseconds from now
     */
    record Refuse(RunKey run, Reason reason, long retryAfterMillis) implements DispatchAction {}

    /** Why a request is turned away. */
    enum Reason {
        /** Its workspace's quota is used up. */
        QUOTA,
        /** It would not be answered in time. */
        OVERLOAD,
        /** No server of the pool may get it. */
        NO_SERVER,
        /** Its content crashed the servers that ran it. */
        HELD
    }
}

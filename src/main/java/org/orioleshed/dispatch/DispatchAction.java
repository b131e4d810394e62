package org.orioleshed.dispatch;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.Suspect;

/** An output of a scheduler. */
public sealed interface DispatchAction {
    /** A decision on a run, for the host that accepted the request. */
    sealed interface Decision extends DispatchAction {
        /** Returns the run that the decision is for. */
        RunKey run();
    }

    /**
     * The request is to be sent to a server.
     *
     * @param run the run
     * @param server the chosen server
     * @param why the inputs of the decision, for the log
     * @param watched whether the scheduler must be told when the server has written on it for a
     *     while
     */
    record Grant(RunKey run, ServerId server, String why, boolean watched) implements Decision {}

    /** The request is queued. */
    record Queued(RunKey run) implements Decision {}

    /**
     * The request is refused; it has not run.
     *
     * @param run the run
     * @param reason the reason
     * @param retryAfterMillis when to retry, in milliseconds from now
     */
    record Refuse(RunKey run, Reason reason, long retryAfterMillis) implements Decision {}

    /**
     * What may run changed, for the other hosts.
     *
     * @param to the only host that needs it; empty for all
     * @param held what is quarantined
     * @param released what is no longer quarantined
     */
    record QuarantineChanged(
            Optional<HostId> to, List<CrashReport.Held> held, List<Suspect> released)
            implements DispatchAction {
        /** Copies the lists. */
        public QuarantineChanged {
            held = List.copyOf(held);
            released = List.copyOf(released);
        }
    }

    /**
     * A line for the log on a change of what the scheduler believes.
     *
     * @param line the line
     */
    record Note(String line) implements DispatchAction {}

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

package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Work;

/** A call to a plain service, on its accepting host. */
final class ServiceCall extends KeyedRequest {
    State state;

    /** The number of the latest attempt; 0 before the first. */
    int attempt;

    /** Whether a run may have reached the service. */
    boolean mayHaveRun;

    /** Whether a run before the latest may have reached the service. */
    boolean ranBefore;

    /** Whether this host holds the claim on the key, under the run {@link #claimRun}. */
    boolean claimHeld;

    /** The run that the key is or was claimed for; null before the first claim. */
    RunId claimRun;

    /** Whether another run holds the claim on the key and may have reached the service. */
    boolean claimedElsewhere;

    /** The run of an earlier claim to be replaced, which is proved never to be sent. */
    Optional<RunId> replaces = Optional.empty();

    int failures;

    ServiceCall(Request request, State state) {
        super(request);
        this.state = state;
    }

    /** Returns the run of the latest attempt. */
    RunId run() {
        return new RunId(request.id(), attempt);
    }

    Work.Call work() {
        return (Work.Call) request.work();
    }

    @Override
    long stateTimerNanos() {
        return state.timerNanos();
    }

    @Override
    boolean provedNotRun() {
        return !mayHaveRun && !claimedElsewhere;
    }

    /** The state of a call. */
    sealed interface State {
        /** Returns when the state's next timer is due. */
        default long timerNanos() {
            return Long.MAX_VALUE;
        }
    }

    /** Waiting for a free slot on a server. */
    record Queued(long sequence) implements State {}

    /** Waiting to be queued again. */
    record Delayed(long untilNanos) implements State {
        @Override
        public long timerNanos() {
            return untilNanos;
        }
    }

    /** Holding a slot on a server and waiting for the claim. */
    record Claiming(ServerId server) implements State {}

    /** Sent to a server. */
    record Sent(RunId run, ServerId server) implements State {}

    /** Waiting for the status of the run that holds the claim. */
    record AwaitingHolder(RunId holder, HostId host, long pollNanos) implements State {
        @Override
        public long timerNanos() {
            return pollNanos;
        }
    }

    /** Waiting for the recorded outcome of a run whose host no longer reports it. */
    record ReadingOutcome(RunId holder, long ticket, String doubt) implements State {}
}

package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Work;

/** A call to a plain service on its accepting host. */
final class ServiceCall extends KeyedRequest {
    State state;

    /** The number of the latest attempt; zero before the first. */
    int attempt;

    /** Whether a run may have reached the service. */
    boolean mayHaveRun;

    /** Whether a run before the latest may have reached the service. */
    boolean ranBefore;

    /** Whether this host holds the claim on the key, under the run {@link #claimed}. */
    boolean owned;

    /** The run that the claim names. */
    RunId claimed;

    /** Whether another host's run has the key and may have reached the service. */
    boolean taken;

    /** An earlier claim that is proved never to be sent, to be replaced. */
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
    long stateWakeNanos() {
        return state.wakeNanos();
    }

    @Override
    boolean provedNotRun() {
        return !mayHaveRun && !taken;
    }

    /** Where a call is in its life. */
    sealed interface State {
        /** Returns when the state has something to do by itself. */
        default long wakeNanos() {
            return Long.MAX_VALUE;
        }
    }

    /** Waits for a free place on a server. */
    record Queued(long sequence) implements State {}

    /** Waits before it is queued again. */
    record Delayed(long untilNanos) implements State {
        @Override
        public long wakeNanos() {
            return untilNanos;
        }
    }

    /** Has a place on a server and waits for its claim. */
    record Claiming(ServerId server) implements State {}

    /** On its way to a server, or running there. */
    record Sent(RunId run, ServerId server) implements State {}

    /** Another host claimed the key; waits for that host's word. */
    record Asking(RunId holder, HostId host, long askAgainNanos) implements State {
        @Override
        public long wakeNanos() {
            return askAgainNanos;
        }
    }
}

package org.orioleshed.host;

import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.rollout.RunResult;
import org.orioleshed.routing.RoutingMessage;

/** An action of an entry host. */
public sealed interface HostAction {
    /** Write tokens to the caller, in order and exactly once each. */
    record WriteTokens(RequestId request, int firstToken, int count, Payload text)
            implements HostAction {}

    /** Answer the caller's request; the last action for it. */
    record Answer(RequestId request, Outcome outcome) implements HostAction {}

    /** Answer {@link HostEvent.StatusRequested}. */
    record ReplyStatus(long ticket, RequestStatus status) implements HostAction {}

    /** Send a message about offers and runs to a peer. */
    record SendRouting(HostId to, RoutingMessage message) implements HostAction {}

    /** Send a message about idempotency keys, request statuses and poison to a peer. */
    record SendRequest(HostId to, RequestMessage message) implements HostAction {}

    /** Start a run on an engine, from {@code resumeFromToken}. */
    record StartRun(RunId run, ServerId server, Payload body, int resumeFromToken)
            implements HostAction {}

    /**
     * Cancel a run on an engine; idempotent. {@link HostEvent.RunEnded} follows, also if the engine
     * has no such run.
     */
    record CancelRun(RunId run, ServerId server) implements HostAction {}

    /** Pause or resume reading a run's tokens from its engine, as the caller's credit allows. */
    record PauseRun(RunId run, boolean paused) implements HostAction {}

    /** Call a plain service once; {@link HostEvent.CallEnded} follows. */
    record CallService(RunId run, ServerId server, String call, Payload body, long timeoutMillis)
            implements HostAction {}

    /** Read a key of the platform's store; {@link HostEvent.StoreAnswered} follows. */
    record ReadStore(long ticket, String key) implements HostAction {}

    /**
     * Replace a key's value if its modification revision is still {@code expectedRevision}; zero
     * means that the key must not exist.
     */
    record CompareAndSwap(
            long ticket, String key, long expectedRevision, Payload value, long timeoutMillis)
            implements HostAction {}

    /** Report the result of a run to the control duty, as evidence about a version for rollouts. */
    record RecordResult(RouteId route, VersionId version, ServerId server, RunResult result)
            implements HostAction {}

    /** Log a decision. */
    record Log(Decision decision) implements HostAction {}

    /** Report that nothing is left to finish after {@link HostEvent.DrainRequested}. */
    record Drained() implements HostAction {}
}

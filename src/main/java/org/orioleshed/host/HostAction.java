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

/** What an entry host can do. */
public sealed interface HostAction {
    /** Write tokens to the caller, in order and each once. */
    record WriteTokens(RequestId request, int firstToken, int count, Payload text)
            implements HostAction {}

    /** End the caller's request; the last action for it. */
    record Answer(RequestId request, Outcome outcome) implements HostAction {}

    /** Answer {@link HostEvent.StatusRequested}. */
    record ReplyStatus(long ticket, RequestStatus status) implements HostAction {}

    /** Send a message about offers and runs. */
    record SendRouting(HostId to, RoutingMessage message) implements HostAction {}

    /** Send a message about keys, request statuses and poison. */
    record SendRequest(HostId to, RequestMessage message) implements HostAction {}

    /** Start a run on an engine, from {@code resumeFromToken}. */
    record StartRun(RunId run, ServerId server, Payload body, int resumeFromToken)
            implements HostAction {}

    /**
     * Cancel a run on an engine, idempotent; ends in {@link HostEvent.RunEnded}, also when the run
     * was never there.
     */
    record CancelRun(RunId run, ServerId server) implements HostAction {}

    /**
     * Slow a run's reading of its engine down, or speed it up again, as the caller's credit allows.
     */
    record PauseRun(RunId run, boolean paused) implements HostAction {}

    /** Call a plain service, once; ends in {@link HostEvent.CallEnded}. */
    record CallService(RunId run, ServerId server, String call, Payload body, long timeoutMillis)
            implements HostAction {}

    /** Read a key of the platform's store. */
    record ReadStore(long ticket, String key) implements HostAction {}

    /**
     * Replace a key's value if its modification revision is still {@code expectedRevision}; zero:
     * no such key.
     */
    record CompareAndSwap(
            long ticket, String key, long expectedRevision, Payload value, long timeoutMillis)
            implements HostAction {}

    /** Hand evidence about a version to the duty that judges moves. */
    record RecordResult(RouteId route, VersionId version, ServerId server, RunResult result)
            implements HostAction {}

    /** Write a decision to the log. */
    record Log(Decision decision) implements HostAction {}

    /** The host has nothing left to finish after {@link HostEvent.DrainRequested}. */
    record Drained() implements HostAction {}
}

package org.orioleshed.host;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.model.Work;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.routing.RunEnd;

/**
 * A baseline scheduler for comparison: round robin over all servers of a route, first come, first
 * served in the engines, without claims, preemption or retries.
 */
public final class NaiveHost implements StateMachine<HostEvent, HostAction> {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Map<RequestId, Running> running = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private int nextIndex;
    private boolean draining;

    private record Running(Request request, BackendServer server, RunId run) {}

    @Override
    public List<HostAction> on(long nowNanos, HostEvent event) {
        List<HostAction> actions = new ArrayList<>();
        switch (event) {
            case HostEvent.RequestArrived arrived -> start(nowNanos, arrived.request(), actions);
            case HostEvent.CallerGone gone -> cancel(gone.request(), actions);
            case HostEvent.RunTokens tokens -> {
                if (running.containsKey(tokens.run().request())) {
                    actions.add(
                            new HostAction.WriteTokens(
                                    tokens.run().request(),
                                    tokens.firstToken(),
                                    tokens.count(),
                                    tokens.text()));
                }
            }
            case HostEvent.RunEnded ended -> finish(ended.run(), outcome(ended.end()), actions);
            case HostEvent.CallEnded ended -> finish(ended.run(), outcome(ended.end()), actions);
            case HostEvent.StatusRequested requested ->
                    actions.add(
                            new HostAction.ReplyStatus(
                                    requested.ticket(), new RequestStatus.Unknown()));
            case HostEvent.FleetChanged changed -> fleet = changed.fleet();
            case HostEvent.DrainRequested drain -> draining = true;
            case HostEvent.Tick tick -> expire(nowNanos, actions);
            default -> {}
        }
        if (draining && running.isEmpty()) {
            actions.add(new HostAction.Drained());
        }
        return actions;
    }

    private void start(long nowNanos, Request request, List<HostAction> actions) {
        if (draining) {
            refuse(request, Outcome.NotRunReason.DRAINING, actions);
            return;
        }
        Route route = fleet.routes().get(request.route());
        List<BackendServer> servers =
                route == null
                        ? List.of()
                        : fleet.serversOf(route.target()).stream()
                                .filter(server -> !server.leaving())
                                .sorted(Comparator.comparing(BackendServer::id))
                                .toList();
        if (servers.isEmpty()) {
            refuse(request, Outcome.NotRunReason.NO_SERVER, actions);
            return;
        }
        nextIndex++;
        BackendServer server = servers.get(Math.floorMod(nextIndex, servers.size()));
        RunId run = new RunId(request.id(), 1);
        running.put(request.id(), new Running(request, server, run));
        switch (request.work()) {
            case Work.Generate generate ->
                    actions.add(new HostAction.StartRun(run, server.id(), request.body(), 0));
            case Work.Call call ->
                    actions.add(
                            new HostAction.CallService(
                                    run,
                                    server.id(),
                                    call.call(),
                                    request.body(),
                                    (request.deadlineNanos() - nowNanos) / 1_000_000));
        }
    }

    private static void refuse(
            Request request, Outcome.NotRunReason reason, List<HostAction> actions) {
        actions.add(
                new HostAction.Answer(
                        request.id(), new Outcome.NotRun(reason, RETRY_AFTER_MILLIS)));
    }

    private void cancel(RequestId request, List<HostAction> actions) {
        Running run = running.remove(request);
        if (run != null) {
            actions.add(new HostAction.CancelRun(run.run(), run.server().id()));
        }
    }

    private void expire(long nowNanos, List<HostAction> actions) {
        List<Running> expired =
                running.values().stream()
                        .filter(run -> run.request().deadlineNanos() - nowNanos < 0)
                        .toList();
        for (Running run : expired) {
            Outcome outcome =
                    run.request().work() instanceof Work.Call
                            ? new Outcome.InDoubt("deadline passed while the call was under way")
                            : new Outcome.Failed(Outcome.FailReason.DEADLINE, "deadline passed");
            cancel(run.request().id(), actions);
            actions.add(new HostAction.Answer(run.request().id(), outcome));
        }
    }

    private void finish(RunId run, Outcome outcome, List<HostAction> actions) {
        if (running.remove(run.request()) != null) {
            actions.add(new HostAction.Answer(run.request(), outcome));
        }
    }

    private static Outcome outcome(RunEnd end) {
        return switch (end) {
            case RunEnd.Finished finished ->
                    new Outcome.Answered(finished.totalTokens(), Payload.EMPTY);
            case RunEnd.NeverStarted never ->
                    new Outcome.NotRun(Outcome.NotRunReason.NO_SERVER, RETRY_AFTER_MILLIS);
            case RunEnd.EngineError error ->
                    new Outcome.Failed(Outcome.FailReason.BACKEND_ERROR, error.detail());
            case RunEnd.Cancelled cancelled ->
                    new Outcome.Failed(Outcome.FailReason.BACKEND_ERROR, "cancelled");
            case RunEnd.Preempted preempted ->
                    new Outcome.Failed(Outcome.FailReason.BACKEND_ERROR, "preempted");
            case RunEnd.Broken broken ->
                    new Outcome.Failed(Outcome.FailReason.BACKEND_ERROR, "connection broke");
        };
    }

    private static Outcome outcome(HostEvent.CallEnd end) {
        return switch (end) {
            case HostEvent.CallEnd.Answered answered when answered.status() < 300 ->
                    new Outcome.Answered(0, answered.body());
            case HostEvent.CallEnd.Answered answered ->
                    new Outcome.Failed(
                            Outcome.FailReason.BACKEND_ERROR, "status " + answered.status());
            case HostEvent.CallEnd.NeverSent never ->
                    new Outcome.NotRun(Outcome.NotRunReason.NO_SERVER, RETRY_AFTER_MILLIS);
            case HostEvent.CallEnd.Broken broken -> new Outcome.InDoubt(broken.detail());
        };
    }
}

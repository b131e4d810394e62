package org.orioleshed.host;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Work;
import org.orioleshed.rollout.RunResult;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RunEnd;

/**
 * Tracks the runs of requests that this host accepted, and reports the result of each as evidence
 * about the version that ran it.
 */
final class RunEvidence {
    private static final double UNKNOWN_LOAD = -1;
    private static final long UNKNOWN_MILLIS = -1;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int HTTP_SERVER_ERROR = 500;

    private final Map<RequestId, Request> requests = new HashMap<>();

    /** The open run of each request; there is at most one. */
    private final Map<RequestId, Run> runs = new HashMap<>();

    private final Map<ServerId, Double> loads = new HashMap<>();
    private final Consumer<HostAction> sink;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    private static final class Run {
        final RunId id;
        final Request request;
        final ServerId server;
        final long startedNanos;
        final double load;
        long firstTokenMillis = UNKNOWN_MILLIS;
        int tokens;

        Run(RunId id, Request request, ServerId server, long startedNanos, double load) {
            this.id = id;
            this.request = request;
            this.server = server;
            this.startedNanos = startedNanos;
            this.load = load;
        }
    }

    RunEvidence(Consumer<HostAction> sink) {
        this.sink = sink;
    }

    /** Observes an event, before it is handled. */
    void onEvent(long nowNanos, HostEvent event) {
        switch (event) {
            case HostEvent.RequestArrived arrived ->
                    requests.put(arrived.request().id(), arrived.request());
            case HostEvent.RoutingReceived received -> onMessage(nowNanos, received.message());
            case HostEvent.RunEnded ended -> end(nowNanos, ended.run(), ended.end());
            case HostEvent.CallEnded ended -> end(nowNanos, ended.run(), ended.end());
            case HostEvent.CallerGone gone -> requestEnded(nowNanos, gone.request());
            case HostEvent.FleetChanged changed -> {
                fleet = changed.fleet();
                loads.keySet().retainAll(fleet.servers().keySet());
            }
            default -> {}
        }
    }

    /** Observes an action of the accepted requests. */
    void onAction(long nowNanos, HostAction action) {
        switch (action) {
            case HostAction.SendRouting send
                    when send.message() instanceof RoutingMessage.Placed placed ->
                    open(nowNanos, placed.run(), placed.server());
            case HostAction.CallService call -> open(nowNanos, call.run(), call.server());
            case HostAction.Answer answer -> requestEnded(nowNanos, answer.request());
            default -> {}
        }
    }

    private void onMessage(long nowNanos, RoutingMessage message) {
        switch (message) {
            case RoutingMessage.Tokens tokens -> {
                Run run = runs.get(tokens.run().request());
                if (run != null && run.id.equals(tokens.run())) {
                    if (run.firstTokenMillis == UNKNOWN_MILLIS) {
                        run.firstTokenMillis = millisSince(nowNanos, run.startedNanos);
                    }
                    run.tokens = Math.max(run.tokens, tokens.firstToken() + tokens.count());
                }
            }
            case RoutingMessage.Ended ended -> end(nowNanos, ended.run(), ended.end());
            case RoutingMessage.ServerLoads reported -> reported.loads().forEach(this::recordLoad);
            default -> {}
        }
    }

    private void recordLoad(RoutingMessage.ServerLoad load) {
        BackendServer server = fleet.servers().get(load.server());
        if (server != null) {
            loads.put(load.server(), load.running() / (double) Math.max(1, server.slots()));
        }
    }

    private void open(long nowNanos, RunId run, ServerId server) {
        Request request = requests.get(run.request());
        if (request != null) {
            double load = loads.getOrDefault(server, UNKNOWN_LOAD);
            runs.put(run.request(), new Run(run, request, server, nowNanos, load));
        }
    }

    private void end(long nowNanos, RunId run, RunEnd end) {
        switch (end) {
            case RunEnd.Finished finished -> close(nowNanos, run, RunResult.Verdict.OK);
            case RunEnd.Cancelled cancelled -> close(nowNanos, run, RunResult.Verdict.INTERRUPTED);
            case RunEnd.Preempted preempted -> close(nowNanos, run, RunResult.Verdict.INTERRUPTED);
            case RunEnd.NeverStarted never -> runs.remove(run.request());
            case RunEnd.EngineError error -> close(nowNanos, run, RunResult.Verdict.FAILED);
            case RunEnd.Broken broken ->
                    close(
                            nowNanos,
                            run,
                            broken.crashed()
                                    ? RunResult.Verdict.CRASHED
                                    : RunResult.Verdict.FAILED);
        }
    }

    private void end(long nowNanos, RunId run, HostEvent.CallEnd end) {
        switch (end) {
            case HostEvent.CallEnd.Answered answered ->
                    close(
                            nowNanos,
                            run,
                            answered.status() >= HTTP_SERVER_ERROR
                                    ? RunResult.Verdict.FAILED
                                    : RunResult.Verdict.OK);
            case HostEvent.CallEnd.NeverSent never ->
                    close(nowNanos, run, RunResult.Verdict.CRASHED);
            case HostEvent.CallEnd.Broken broken -> close(nowNanos, run, RunResult.Verdict.FAILED);
        }
    }

    /** Closes the open run of a request that is answered or whose caller left. */
    private void requestEnded(long nowNanos, RequestId request) {
        if (requests.remove(request) == null) {
            return;
        }
        Run run = runs.get(request);
        if (run != null) {
            close(nowNanos, run.id, RunResult.Verdict.INTERRUPTED);
        }
    }

    private void close(long nowNanos, RunId id, RunResult.Verdict verdict) {
        Run run = runs.get(id.request());
        if (run == null || !run.id.equals(id)) {
            return;
        }
        runs.remove(id.request());
        BackendServer server = fleet.servers().get(run.server);
        if (server == null) {
            return;
        }
        RunResult result =
                new RunResult(
                        verdict,
                        millisSince(nowNanos, run.startedNanos),
                        run.firstTokenMillis,
                        run.tokens,
                        run.request.work() instanceof Work.Generate generate
                                ? generate.promptTokens()
                                : 0,
                        0,
                        run.load,
                        run.request.fingerprint());
        sink.accept(
                new HostAction.RecordResult(
                        run.request.route(), server.version(), server.id(), result));
    }

    private static long millisSince(long nowNanos, long thenNanos) {
        return Math.max(0, (nowNanos - thenNanos) / NANOS_PER_MILLI);
    }
}

package org.orioleshed.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RunEnd;

/** Engines whose answer depends on the body only: {@link #length} tokens of predictable text. */
final class FakeEngines {
    /** Every run that an engine accepted, live or ended. */
    final Set<RunId> started = new HashSet<>();

    final Set<RequestId> startedRequests = new HashSet<>();

    /** Cancelled runs; cancelling a run before its start makes the engine refuse it. */
    private final Set<RunId> cancelled = new HashSet<>();

    final Map<RunId, Run> live = new LinkedHashMap<>();

    /** A run on an engine, and the host process that reads its tokens. */
    static final class Run {
        final ServerId server;
        final HostId reader;
        final long incarnation;
        final Payload body;
        int next;
        boolean paused;

        Run(ServerId server, HostId reader, long incarnation, Payload body, int next) {
            this.server = server;
            this.reader = reader;
            this.incarnation = incarnation;
            this.body = body;
            this.next = next;
        }
    }

    static int length(Payload body) {
        return 3 + Math.floorMod(body.text().hashCode(), 5);
    }

    static Payload token(Payload body, int offset) {
        return Payload.of(body.text() + "." + offset + " ");
    }

    /** Starts a run, or refuses one that was started or cancelled before. */
    List<HostEvent> start(HostAction.StartRun action, HostId reader, long incarnation) {
        RunId run = action.run();
        if (cancelled.contains(run) || !started.add(run)) {
            return List.of(
                    new HostEvent.RunEnded(
                            run,
                            action.server(),
                            new RunEnd.EngineError(true, "duplicate or cancelled run id")));
        }
        startedRequests.add(run.request());
        live.put(
                run,
                new Run(
                        action.server(),
                        reader,
                        incarnation,
                        action.body(),
                        action.resumeFromToken()));
        return List.of(new HostEvent.RunAccepted(run, action.server()));
    }

    /** Produces the next token of a run, or its end. */
    List<HostEvent> step(RunId run) {
        Run state = live.get(run);
        if (state.paused) {
            return List.of();
        }
        int length = length(state.body);
        if (state.next >= length) {
            live.remove(run);
            return List.of(new HostEvent.RunEnded(run, state.server, new RunEnd.Finished(length)));
        }
        int offset = state.next++;
        return List.of(
                new HostEvent.RunTokens(run, state.server, offset, 1, token(state.body, offset)));
    }

    /** Cancels a run; the answer is the same if there is no such run. */
    HostEvent cancel(RunId run, ServerId server) {
        cancelled.add(run);
        live.remove(run);
        return new HostEvent.RunEnded(run, server, new RunEnd.Cancelled(0));
    }

    /** Returns the live runs of a server that crashes. */
    List<RunId> crash(ServerId server) {
        List<RunId> lost = new ArrayList<>();
        live.forEach(
                (run, state) -> {
                    if (state.server.equals(server)) {
                        lost.add(run);
                    }
                });
        return lost;
    }

    /** Returns the number of live runs of a request. */
    long liveRuns(RequestId request) {
        return live.keySet().stream().filter(run -> run.request().equals(request)).count();
    }
}

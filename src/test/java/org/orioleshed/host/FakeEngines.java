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

/** Engines whose answer is a pure function of the body: {@link #length} tokens of known text. */
final class FakeEngines {
    /** Every run that an engine took, live or not. */
    final Set<RunId> started = new HashSet<>();

    final Set<RequestId> startedRequests = new HashSet<>();

    /** Runs that were cancelled before they came. */
    private final Set<RunId> cancelled = new HashSet<>();

    final Map<RunId, Run> live = new LinkedHashMap<>();

    /** One run on an engine, and the process that reads it. */
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

    /** Starts a run, or returns the engine's refusal. */
    List<HostEvent> start(HostAction.StartRun action, HostId reader, long incarnation) {
        RunId run = action.run();
        if (cancelled.contains(run) || !started.add(run)) {
            return List.of(
                    new HostEvent.RunEnded(
                            run, action.server(), new RunEnd.EngineError(true, "run id twice")));
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

    /** Makes the next token of a run, or its end. */
    List<HostEvent> step(RunId run) {
        Run at = live.get(run);
        if (at.paused) {
            return List.of();
        }
        int length = length(at.body);
        if (at.next >= length) {
            live.remove(run);
            return List.of(new HostEvent.RunEnded(run, at.server, new RunEnd.Finished(length)));
        }
        int offset = at.next++;
        return List.of(new HostEvent.RunTokens(run, at.server, offset, 1, token(at.body, offset)));
    }

    /** Cancels a run; an engine answers in the same way when it is not there. */
    HostEvent cancel(RunId run, ServerId server) {
        cancelled.add(run);
        live.remove(run);
        return new HostEvent.RunEnded(run, server, new RunEnd.Cancelled(0));
    }

    /** Crashes a server; returns its runs. */
    List<RunId> crash(ServerId server) {
        List<RunId> lost = new ArrayList<>();
        live.forEach(
                (run, at) -> {
                    if (at.server.equals(server)) {
                        lost.add(run);
                    }
                });
        return lost;
    }

    /** Returns how many runs of one request are live. */
    long liveRuns(RequestId request) {
        return live.keySet().stream().filter(run -> run.request().equals(request)).count();
    }
}

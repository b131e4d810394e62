package org.orioleshed.host;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.Work;

/**
 * Invariants checked from outside the cores: an unrepeatable call runs at most once, a request has
 * at most one live run and one outcome, "not run" means that it never ran, and tokens reach the
 * caller in order.
 */
final class Invariants {
    private final FakeEngines engines;
    private final Trace trace;
    private final Map<RequestId, Caller> callers = new HashMap<>();
    private final Map<RequestKey, Integer> unrepeatableRuns = new HashMap<>();
    private final Set<RequestId> serviceRequests = new HashSet<>();

    Invariants(FakeEngines engines, Trace trace) {
        this.engines = engines;
        this.trace = trace;
    }

    /** What one caller has received. */
    private static final class Caller {
        final Request request;
        int tokens;
        Outcome outcome;
        boolean disconnected;

        Caller(Request request) {
            this.request = request;
        }
    }

    void requestArrived(FakeFleet.Node node, Request request) {
        callers.put(request.id(), new Caller(request));
        if (!node.up || node.paused) {
            callers.get(request.id()).disconnected = true;
        }
    }

    void callerLeft(RequestId request) {
        callers.get(request).disconnected = true;
    }

    void hostCrashed(FakeFleet.Node node) {
        for (Caller caller : callers.values()) {
            if (caller.request.id().host().equals(node.id)) {
                caller.disconnected = true;
            }
        }
    }

    /** Records that a call reached its service. */
    void serviceRan(HostAction.CallService call) {
        serviceRequests.add(call.run().request());
        Caller caller = callers.get(call.run().request());
        Work.Call work = (Work.Call) caller.request.work();
        if (work.repeatable()) {
            return;
        }
        int runs = unrepeatableRuns.merge(caller.request.key(), 1, Integer::sum);
        require(runs == 1, "ran twice: " + caller.request.key(), caller.request);
    }

    void onAction(FakeFleet.Node node, HostAction action) {
        switch (action) {
            case HostAction.WriteTokens write -> checkTokens(write);
            case HostAction.Answer answer -> checkAnswer(answer);
            default -> {}
        }
    }

    private void checkTokens(HostAction.WriteTokens write) {
        Caller caller = callers.get(write.request());
        require(caller.outcome == null, "tokens after the outcome: " + write, caller.request);
        require(
                write.firstToken() == caller.tokens,
                "tokens out of order: " + write,
                caller.request);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < write.count(); i++) {
            text.append(FakeEngines.token(caller.request.body(), write.firstToken() + i).text());
        }
        Payload expected = Payload.of(text.toString());
        require(
                write.text().equals(expected),
                "tokens differ from the expected answer: " + write,
                caller.request);
        caller.tokens += write.count();
    }

    private void checkAnswer(HostAction.Answer answer) {
        Caller caller = callers.get(answer.request());
        require(caller.outcome == null, "two outcomes: " + answer, caller.request);
        caller.outcome = answer.outcome();
        if (!(answer.outcome() instanceof Outcome.Answered whole)) {
            return;
        }
        if (caller.request.work() instanceof Work.Generate) {
            int length = FakeEngines.length(caller.request.body());
            require(caller.tokens == length, "incomplete answer: " + answer, caller.request);
            require(whole.tokens() == length, "wrong token count: " + answer, caller.request);
        } else {
            require(
                    whole.body().equals(caller.request.body()),
                    "body differs from the expected answer: " + answer,
                    caller.request);
        }
    }

    /** Checks the invariants that span several actions. */
    void check() {
        for (Caller caller : callers.values()) {
            RequestId id = caller.request.id();
            if (caller.outcome instanceof Outcome.NotRun) {
                boolean ran = engines.startedRequests.contains(id) || serviceRequests.contains(id);
                require(!ran, "answered as not run, but ran: " + id, caller.request);
            }
        }
        Set<RequestId> live = new HashSet<>();
        for (RunId run : engines.live.keySet()) {
            require(
                    live.add(run.request()),
                    "two live runs: " + run,
                    callers.get(run.request()).request);
        }
    }

    /** Checks that every caller still connected has an outcome. */
    void checkAllAnswered() {
        for (Caller caller : callers.values()) {
            require(
                    caller.disconnected || caller.outcome != null,
                    "no outcome: " + caller.request.id() + " " + caller.request.work(),
                    caller.request);
        }
    }

    /** Returns the requests of callers still waiting, in a fixed order. */
    List<RequestId> waiting() {
        return callers.values().stream()
                .filter(caller -> !caller.disconnected && caller.outcome == null)
                .map(caller -> caller.request.id())
                .sorted(Comparator.comparing(RequestId::toString))
                .toList();
    }

    Request request(RequestId id) {
        return callers.get(id).request;
    }

    Outcome outcome(RequestId request) {
        return callers.get(request).outcome;
    }

    int tokens(RequestId request) {
        return callers.get(request).tokens;
    }

    int unrepeatableRuns(RequestKey key) {
        return unrepeatableRuns.getOrDefault(key, 0);
    }

    private void require(boolean holds, String what, Request about) {
        if (!holds) {
            throw new AssertionError(what + trace.linesAbout(about));
        }
    }
}

package org.orioleshed.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.request.Execution.Running;
import org.orioleshed.request.RequestMessage.Piece;
import org.orioleshed.routing.RoutingMessage;

/** What the callers of model requests get of the streams, and what they have taken. */
final class CallerStreams {
    /** Owners hear of more credit in steps of this part of it. */
    private static final int CREDIT_STEPS = 4;

    private final RequestLimits limits;
    private final Consumer<HostAction> out;
    private final Map<RequestId, Execution> byCaller = new HashMap<>();

    CallerStreams(RequestLimits limits, Consumer<HostAction> out) {
        this.limits = limits;
        this.out = out;
    }

    boolean knows(RequestId caller) {
        return byCaller.containsKey(caller);
    }

    /** Adds a caller, who gets what is there already. */
    void add(Execution execution, Request request) {
        execution.callers.add(new Caller(request));
        byCaller.put(request.id(), execution);
        execution.transcript.pieces().forEach(piece -> write(request.id(), piece));
    }

    /** Forgets a caller and returns its execution; null when it has none. */
    Execution remove(RequestId caller) {
        return byCaller.remove(caller);
    }

    /**
     * Takes a piece of the stream, in any order, and passes on what follows without a gap.
     *
     * @param ahead how many tokens beyond a gap are kept
     */
    void add(Execution execution, Piece piece, int ahead) {
        for (Piece fresh : execution.transcript.add(piece, ahead)) {
            execution.callers.forEach(caller -> write(caller.request.id(), fresh));
        }
    }

    private void write(RequestId caller, Piece piece) {
        out.accept(
                new HostAction.WriteTokens(
                        caller, piece.firstToken(), piece.count(), piece.text()));
    }

    /** A caller's connection took tokens. */
    void took(RequestId caller, int tokens) {
        Execution execution = byCaller.get(caller);
        if (execution == null) {
            return;
        }
        for (Caller one : execution.callers) {
            if (one.request.id().equals(caller)) {
                one.taken = Math.min(execution.transcript.tokens(), one.taken + tokens);
            }
        }
        giveCredit(execution);
    }

    /** Lets the owner send on, as far as the slowest caller has taken. */
    void giveCredit(Execution execution) {
        if (!(execution.state instanceof Running running)) {
            return;
        }
        int limit = execution.takenTokens() + limits.creditTokens();
        int more = limit - execution.creditLimit;
        if (more < Math.max(1, limits.creditTokens() / CREDIT_STEPS)) {
            return;
        }
        execution.creditLimit = limit;
        out.accept(
                new HostAction.SendRouting(
                        running.owner, new RoutingMessage.Credit(running.run, more)));
    }

    /** Gives one caller the outcome and forgets it. */
    void answer(RequestId caller, Outcome outcome) {
        out.accept(new HostAction.Answer(caller, outcome));
        byCaller.remove(caller);
    }

    /** Gives all callers of an execution the outcome and forgets them. */
    void answerAll(Execution execution, Outcome outcome) {
        for (Caller caller : List.copyOf(execution.callers)) {
            answer(caller.request.id(), outcome);
        }
        execution.callers.clear();
    }
}

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

/**
 * Streams tokens to the callers of model requests and tracks how many each has consumed, for flow
 * control.
 */
final class CallerStreams {
    /** Credit is sent to the owner in batches of at least {@code creditTokens} divided by this. */
    private static final int CREDIT_BATCH_DIVISOR = 4;

    private final RequestLimits limits;
    private final Consumer<HostAction> out;
    private final Map<RequestId, Execution> byCaller = new HashMap<>();

    CallerStreams(RequestLimits limits, Consumer<HostAction> out) {
        this.limits = limits;
        this.out = out;
    }

    boolean contains(RequestId caller) {
        return byCaller.containsKey(caller);
    }

    /** Adds a caller and sends it the pieces received so far. */
    void add(Execution execution, Request request) {
        execution.callers.add(new Caller(request));
        byCaller.put(request.id(), execution);
        execution.transcript.pieces().forEach(piece -> write(request.id(), piece));
    }

    /** Removes a caller and returns its execution, or null if the caller is unknown. */
    Execution remove(RequestId caller) {
        return byCaller.remove(caller);
    }

    /**
     * Adds a piece of the stream, in any order, and writes what is now contiguous to the callers.
     *
     * @param windowTokens how many tokens beyond a gap a piece may start and still be kept
     */
    void add(Execution execution, Piece piece, int windowTokens) {
        for (Piece fresh : execution.transcript.add(piece, windowTokens)) {
            execution.callers.forEach(caller -> write(caller.request.id(), fresh));
        }
    }

    private void write(RequestId caller, Piece piece) {
        out.accept(
                new HostAction.WriteTokens(
                        caller, piece.firstToken(), piece.count(), piece.text()));
    }

    /** Records tokens consumed by a caller's connection. */
    void onConsumed(RequestId caller, int tokens) {
        Execution execution = byCaller.get(caller);
        if (execution == null) {
            return;
        }
        for (Caller consumer : execution.callers) {
            if (consumer.request.id().equals(caller)) {
                consumer.consumedTokens =
                        Math.min(execution.transcript.tokens(), consumer.consumedTokens + tokens);
            }
        }
        grantCredit(execution);
    }

    /** Grants the owner credit according to the slowest caller. */
    void grantCredit(Execution execution) {
        if (!(execution.state instanceof Running running)) {
            return;
        }
        int limit = execution.consumedTokens() + limits.creditTokens();
        int added = limit - execution.creditLimit;
        if (added < Math.max(1, limits.creditTokens() / CREDIT_BATCH_DIVISOR)) {
            return;
        }
        execution.creditLimit = limit;
        out.accept(
                new HostAction.SendRouting(
                        running.owner, new RoutingMessage.Credit(running.run, added)));
    }

    /** Sends the outcome to one caller and removes it. */
    void answer(RequestId caller, Outcome outcome) {
        out.accept(new HostAction.Answer(caller, outcome));
        byCaller.remove(caller);
    }

    /** Sends the outcome to all callers of an execution and removes them. */
    void answerAll(Execution execution, Outcome outcome) {
        for (Caller caller : List.copyOf(execution.callers)) {
            answer(caller.request.id(), outcome);
        }
        execution.callers.clear();
    }
}

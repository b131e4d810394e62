package org.orioleshed.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.orioleshed.control.ControlEvent.FollowedKey;
import org.orioleshed.settings.Proposal;
import org.orioleshed.settings.ProposalAction;
import org.orioleshed.settings.ProposalEvent;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.ProposedChange;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/** Executes the actions of all pending proposals. */
final class Proposals {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PROPOSAL_TIMEOUT_NANOS = 10_000 * NANOS_PER_MILLI;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_OPEN = 16;

    private record Open(Proposal proposal, CompletableFuture<ProposalResult> answer) {}

    private final Store store;
    private final Consumer<ControlEvent> eventSink;
    private final Consumer<ProposalResult.Accepted> onAccepted;
    private final Map<Long, Open> open = new HashMap<>();
    private long lastNumber;

    Proposals(
            Store store,
            Consumer<ControlEvent> eventSink,
            Consumer<ProposalResult.Accepted> onAccepted) {
        this.store = store;
        this.eventSink = eventSink;
        this.onAccepted = onAccepted;
    }

    void start(
            long nowNanos,
            ProposedChange change,
            long inForceNumber,
            long atMillis,
            CompletableFuture<ProposalResult> answer) {
        if (open.size() >= MAX_OPEN) {
            answer.complete(new ProposalResult.Refused("too many proposals at once on this host"));
            return;
        }
        Proposal proposal =
                new Proposal(change, inForceNumber, atMillis, nowNanos + PROPOSAL_TIMEOUT_NANOS);
        open.put(++lastNumber, new Open(proposal, answer));
        on(nowNanos, lastNumber, new ProposalEvent.Tick());
    }

    void tick(long nowNanos) {
        if (open.isEmpty()) {
            return;
        }
        List<Long> numbers = new ArrayList<>(open.keySet());
        numbers.forEach(number -> on(nowNanos, number, new ProposalEvent.Tick()));
    }

    void on(long nowNanos, long number, ProposalEvent event) {
        Open pending = open.get(number);
        if (pending == null) {
            return;
        }
        for (ProposalAction action : pending.proposal().on(nowNanos, event)) {
            switch (action) {
                case ProposalAction.ReadStore read ->
                        forwardAnswer(
                                number, store.get(FollowedKey.SETTINGS.key(), CALL_TIMEOUT_MILLIS));
                case ProposalAction.CompareAndSwap swap ->
                        forwardAnswer(
                                number,
                                store.swap(
                                        FollowedKey.SETTINGS.key(),
                                        StoreRevision.of(swap.expectedRevision()),
                                        swap.value(),
                                        0,
                                        CALL_TIMEOUT_MILLIS));
                case ProposalAction.Settled settled -> settle(number, settled.result());
            }
        }
    }

    /** Completes all pending proposals as in doubt, since their changes may still be written. */
    void close() {
        for (Open each : open.values()) {
            each.answer().complete(new ProposalResult.InDoubt("the host is stopping"));
        }
        open.clear();
    }

    private void settle(long number, ProposalResult result) {
        Open settled = open.remove(number);
        if (result instanceof ProposalResult.Accepted accepted) {
            onAccepted.accept(accepted);
        }
        settled.answer().complete(result);
    }

    private void forwardAnswer(long number, CompletableFuture<Store.Result> call) {
        var unused =
                call.thenAccept(
                        result ->
                                eventSink.accept(
                                        new ControlEvent.ProposalAnswered(number, result)));
    }
}

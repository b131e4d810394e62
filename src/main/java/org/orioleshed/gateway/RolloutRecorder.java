package org.orioleshed.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.orioleshed.catalog.BadCatalogException;
import org.orioleshed.catalog.CatalogDecoder;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * Records the outcomes of rollouts in the store, by compare-and-swap after a read, so that there is
 * one outcome whatever happens to hosts. An outcome that another host recorded is taken over.
 */
public final class RolloutRecorder {
    private static final long CALL_MILLIS = 800;
    private static final long RETRY_MILLIS = 200;

    private final Store store;
    private final CatalogDecoder decoder;
    private final ScheduledExecutorService executor;
    private final BiConsumer<RolloutOrder, RolloutOutcome> recorded;
    private final Consumer<String> log;
    private final Map<RolloutOrder, RolloutOutcome> wanted = new HashMap<>();

    /**
     * Makes one.
     *
     * @param recorded takes what the store holds, on the executor's thread
     */
    public RolloutRecorder(
            Store store,
            CatalogDecoder decoder,
            ScheduledExecutorService executor,
            BiConsumer<RolloutOrder, RolloutOutcome> recorded,
            Consumer<String> log) {
        this.store = store;
        this.decoder = decoder;
        this.executor = executor;
        this.recorded = recorded;
        this.log = log;
    }

    /** Records an outcome unless a final one stands; may be called from any thread. */
    public void record(RolloutOrder order, RolloutOutcome outcome) {
        executor.execute(
                () -> {
                    RolloutOutcome before = wanted.put(order, outcome);
                    if (before == null) {
                        read(order);
                    }
                });
    }

    private void read(RolloutOrder order) {
        store.get(decoder.outcomeKey(order.service()), CALL_MILLIS)
                .thenAcceptAsync(result -> wasRead(order, result), executor);
    }

    private void wasRead(RolloutOrder order, Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            again(order, result);
            return;
        }
        if (entries.entries().isEmpty()) {
            write(order, 0);
            return;
        }
        Store.Entry entry = entries.entries().getFirst();
        Optional<RolloutOutcome> present = decode(order, entry);
        boolean stands =
                present.isPresent()
                        && entry.revision() > order.revision()
                        && (present.get() != RolloutOutcome.RUNNING
                                || present.get() == wanted.get(order));
        if (stands) {
            done(order, present.get());
        } else {
            write(order, entry.revision());
        }
    }

    private Optional<RolloutOutcome> decode(RolloutOrder order, Store.Entry entry) {
        try {
            return decoder.outcome(order, entry.value().toBytes());
        } catch (BadCatalogException e) {
            log.accept(
                    "event=outcome_unreadable key=%s reason=\"%s\""
                            .formatted(entry.key(), e.getMessage()));
            return Optional.empty();
        }
    }

    private void write(RolloutOrder order, long revision) {
        RolloutOutcome outcome = wanted.get(order);
        Payload value = Payload.of(decoder.encodeOutcome(order, outcome));
        store.swap(decoder.outcomeKey(order.service()), revision, value, 0, CALL_MILLIS)
                .thenAcceptAsync(result -> wasWritten(order, outcome, result), executor);
    }

    private void wasWritten(RolloutOrder order, RolloutOutcome outcome, Store.Result result) {
        if (result instanceof Store.Result.Swapped) {
            done(order, outcome);
        } else {
            again(order, result);
        }
    }

    private void done(RolloutOrder order, RolloutOutcome outcome) {
        log.accept("event=move_recorded order=%s outcome=%s".formatted(order, outcome));
        RolloutOutcome now = wanted.remove(order);
        recorded.accept(order, outcome);
        if (now != outcome && outcome == RolloutOutcome.RUNNING) {
            record(order, now);
        }
    }

    /** Reads again: a lost answer is settled so, and a conflict, too. */
    private void again(RolloutOrder order, Store.Result result) {
        log.accept("event=move_not_recorded order=%s reason=\"%s\"".formatted(order, result));
        var unused = executor.schedule(() -> read(order), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

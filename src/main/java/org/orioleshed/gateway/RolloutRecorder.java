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
import org.orioleshed.store.StoreRevision;

/**
 * Records the outcomes of rollouts in the store by compare-and-swap after a read, so that each
 * rollout has one outcome even if hosts fail. An outcome that another host recorded is adopted.
 */
public final class RolloutRecorder {
    private static final long CALL_TIMEOUT_MILLIS = 800;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final Store store;
    private final CatalogDecoder decoder;
    private final ScheduledExecutorService executor;
    private final BiConsumer<RolloutOrder, RolloutOutcome> recorded;
    private final Consumer<String> log;
    private final Map<RolloutOrder, RolloutOutcome> pending = new HashMap<>();

    /**
     * Creates a recorder.
     *
     * @param store the store that holds the outcomes
     * @param decoder encodes and decodes outcomes
     * @param executor runs all work of the recorder
     * @param recorded receives the outcomes that the store holds, on the executor's thread
     * @param log receives log lines
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

    /** Records an outcome unless a final one is recorded; may be called from any thread. */
    public void record(RolloutOrder order, RolloutOutcome outcome) {
        executor.execute(
                () -> {
                    RolloutOutcome before = pending.put(order, outcome);
                    if (before == null) {
                        read(order);
                    }
                });
    }

    private void read(RolloutOrder order) {
        store.get(decoder.outcomeKey(order.service()), CALL_TIMEOUT_MILLIS)
                .thenAcceptAsync(result -> handleRead(order, result), executor);
    }

    private void handleRead(RolloutOrder order, Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            retry(order, result);
            return;
        }
        if (entries.entries().isEmpty()) {
            write(order, StoreRevision.NONE);
            return;
        }
        Store.Entry entry = entries.entries().getFirst();
        Optional<RolloutOutcome> present = decode(order, entry);
        boolean stands =
                present.isPresent()
                        && entry.revision().isAfter(order.revision())
                        && (present.get() != RolloutOutcome.RUNNING
                                || present.get() == pending.get(order));
        if (stands) {
            complete(order, present.get());
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

    private void write(RolloutOrder order, StoreRevision revision) {
        RolloutOutcome outcome = pending.get(order);
        Payload value = Payload.of(decoder.encodeOutcome(order, outcome));
        store.swap(decoder.outcomeKey(order.service()), revision, value, 0, CALL_TIMEOUT_MILLIS)
                .thenAcceptAsync(result -> handleWrite(order, outcome, result), executor);
    }

    private void handleWrite(RolloutOrder order, RolloutOutcome outcome, Store.Result result) {
        if (result instanceof Store.Result.Swapped) {
            complete(order, outcome);
        } else {
            retry(order, result);
        }
    }

    private void complete(RolloutOrder order, RolloutOutcome outcome) {
        log.accept("event=move_recorded order=%s outcome=%s".formatted(order, outcome));
        RolloutOutcome latest = pending.remove(order);
        recorded.accept(order, outcome);
        if (latest != outcome && outcome == RolloutOutcome.RUNNING) {
            record(order, latest);
        }
    }

    /** Reads again after a delay, which settles a lost response or a conflict. */
    private void retry(RolloutOrder order, Store.Result result) {
        log.accept("event=move_not_recorded order=%s reason=\"%s\"".formatted(order, result));
        var unused =
                executor.schedule(() -> read(order), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

package org.orioleshed.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

/** Applies the {@link BufferBudget} to callers' connections. Used on the data thread only. */
final class CallerBuffers {
    private final BufferBudget<CallerConnection> budget = new BufferBudget<>();
    private final Collection<CallerConnection> callers;
    private final Consumer<String> log;
    private final Counter cutOff;
    private final Counter refused;
    private volatile long bufferedBytes;

    /**
     * Creates buffers without a bound.
     *
     * @param callers all open connections
     */
    CallerBuffers(
            Collection<CallerConnection> callers, MetricRegistry metrics, Consumer<String> log) {
        this.callers = callers;
        this.log = log;
        this.cutOff = metrics.counter("callers_cut_off");
        this.refused = metrics.counter("large_requests_refused");
        metrics.gauge("buffered_bytes", () -> () -> bufferedBytes);
    }

    /** Sets the total, in bytes; 0 for none. */
    void limit(long budgetBytes) {
        budget.limit(budgetBytes);
    }

    /** Records what a connection buffers, and cuts callers off while the budget is exceeded. */
    void update(CallerConnection caller) {
        record(caller);
        if (budget.cutOff().isEmpty()) {
            return;
        }
        // Buffers are written out without a notification.
        callers.forEach(this::record);
        Optional<CallerConnection> slowest = budget.cutOff();
        while (slowest.isPresent()) {
            cutOff.inc();
            log.accept(
                    "event=caller_cut_off caller_bytes=%d buffered_bytes=%d"
                            .formatted(slowest.get().bufferedBytes(), budget.totalBytes()));
            remove(slowest.get());
            slowest.get().cutOffLater();
            slowest = budget.cutOff();
        }
    }

    /** Records what was written out without a notification, so that it no longer counts. */
    void refresh() {
        if (budget.totalBytes() > 0) {
            callers.forEach(this::record);
        }
    }

    private void record(CallerConnection caller) {
        budget.update(caller, caller.bufferedBytes(), System.nanoTime());
        bufferedBytes = budget.totalBytes();
    }

    /** Forgets a connection that is closed. */
    void remove(CallerConnection caller) {
        budget.update(caller, 0, System.nanoTime());
        bufferedBytes = budget.totalBytes();
    }

    /** Returns whether the host may read more from the server of a caller that reads slowly. */
    boolean mayBuffer(CallerConnection caller) {
        return budget.mayBuffer(caller);
    }

    /** Returns whether a request with a body of this size may be read. */
    boolean mayRead(long bodyBytes) {
        boolean allowed = budget.mayRead(bodyBytes);
        if (!allowed) {
            refused.inc();
        }
        return allowed;
    }
}

package org.orioleshed.gateway;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs a task on an event loop again and again, after pauses that the work at hand decides:
 * hundreds of hosts that wake for nothing cost more than their requests do.
 */
final class Ticker {
    private final EventExecutor loop;
    private final Runnable task;
    private final LongSupplier pauseMillis;
    private ScheduledFuture<?> next;
    private long dueNanos;

    /**
     * Makes one that rests.
     *
     * @param loop runs the task; all methods are called on it
     * @param pauseMillis the pause that the work at hand allows, in milliseconds
     */
    Ticker(EventExecutor loop, Runnable task, LongSupplier pauseMillis) {
        this.loop = loop;
        this.task = task;
        this.pauseMillis = pauseMillis;
    }

    /** Sees to it that the task runs within the pause that the work at hand allows now. */
    void wake() {
        long wantedNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis.getAsLong());
        if (next != null && dueNanos - wantedNanos <= 0) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        dueNanos = wantedNanos;
        next = loop.schedule(this::run, wantedNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void run() {
        next = null;
        try {
            task.run();
        } finally {
            wake();
        }
    }
}

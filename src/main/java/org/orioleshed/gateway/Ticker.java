package org.orioleshed.gateway;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs a task repeatedly on an event loop, with pauses that depend on the pending work. The timers
 * of hundreds of idle hosts would cost more processor time than their requests.
 */
final class Ticker {
    private final EventExecutor loop;
    private final Runnable task;
    private final LongSupplier pauseMillis;
    private ScheduledFuture<?> next;
    private long dueNanos;

    /**
     * Creates a ticker that is not scheduled.
     *
     * @param loop the event loop that runs the task; all methods must be called on it
     * @param pauseMillis returns the pause that the pending work allows, in milliseconds
     */
    Ticker(EventExecutor loop, Runnable task, LongSupplier pauseMillis) {
        this.loop = loop;
        this.task = task;
        this.pauseMillis = pauseMillis;
    }

    /** Schedules the task to run within the pause that the pending work allows now. */
    void reschedule() {
        long latestNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis.getAsLong());
        if (next != null && dueNanos - latestNanos <= 0) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        dueNanos = latestNanos;
        next = loop.schedule(this::run, latestNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void run() {
        next = null;
        try {
            task.run();
        } finally {
            reschedule();
        }
    }
}

package org.orioleshed.entry;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.StateMachine;

/**
 * The single-threaded event loop of a host: polls events from a bounded ring buffer, passes them to
 * the host's state machine and executes the resulting actions.
 */
final class HostEventLoop implements Runnable, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long FULL_RING_PARK_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long IDLE_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long WALL_CLOCK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_BATCH_EVENTS = 256;
    private static final int MAX_QUERIES = 64;

    private final StateMachine<HostEvent, HostAction> hostCore;
    private final ActionExecutor actions;
    private final MpscAtomicArrayQueue<HostEvent> ring;
    private final MpscAtomicArrayQueue<Runnable> queries = new MpscAtomicArrayQueue<>(MAX_QUERIES);
    private final long tickNanos;
    private long nextWallClockNanos = System.nanoTime();
    private volatile Thread owner;
    private volatile boolean idle;
    private volatile boolean closed;

    HostEventLoop(
            StateMachine<HostEvent, HostAction> hostCore,
            ActionExecutor actions,
            EntryLimits limits) {
        this.hostCore = hostCore;
        this.actions = actions;
        this.ring = new MpscAtomicArrayQueue<>(limits.eventRingCapacity());
        this.tickNanos = TimeUnit.MILLISECONDS.toNanos(limits.tickMillis());
    }

    /** Queues an event; returns false if the ring buffer is full. */
    boolean offer(HostEvent event) {
        boolean accepted = ring.offer(event);
        if (idle) {
            LockSupport.unpark(owner);
        }
        return accepted;
    }

    /** Queues an event, blocking the calling thread while the ring buffer is full. */
    void put(HostEvent event) {
        while (!offer(event)) {
            if (closed) {
                return;
            }
            LockSupport.parkNanos(FULL_RING_PARK_NANOS);
        }
    }

    /** Runs a query on the event loop's thread; fails if too many queries are queued. */
    <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted = queries.offer(() -> complete(query, result));
        if (!accepted) {
            result.completeExceptionally(
                    new IllegalStateException(
                            "too many queued queries; the limit is " + MAX_QUERIES));
        }
        return result;
    }

    private static <T> void complete(Supplier<T> query, CompletableFuture<T> result) {
        try {
            result.complete(query.get());
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    int queuedEvents() {
        return ring.size();
    }

    @Override
    public void run() {
        owner = Thread.currentThread();
        long nextTickNanos = System.nanoTime();
        while (!closed) {
            int handled = handleQueuedEvents();
            runOneQuery();
            long nowNanos = System.nanoTime();
            if (nowNanos - nextTickNanos >= 0) {
                handle(new HostEvent.Tick());
                sendWallClock(nowNanos);
                nextTickNanos = nowNanos + tickNanos;
            }
            if (handled == 0) {
                parkIfIdle();
            }
        }
    }

    /** Sends the wall-clock time. Only daily windows depend on it. */
    private void sendWallClock(long nowNanos) {
        if (nowNanos - nextWallClockNanos >= 0) {
            handle(new HostEvent.WallClock(System.currentTimeMillis()));
            nextWallClockNanos = nowNanos + WALL_CLOCK_INTERVAL_NANOS;
        }
    }

    private void runOneQuery() {
        Runnable query = queries.poll();
        if (query != null) {
            query.run();
        }
    }

    private int handleQueuedEvents() {
        int handled = 0;
        while (handled < MAX_BATCH_EVENTS) {
            HostEvent event = ring.poll();
            if (event == null) {
                return handled;
            }
            handle(event);
            handled++;
        }
        return handled;
    }

    private void parkIfIdle() {
        idle = true;
        if (ring.isEmpty()) {
            LockSupport.parkNanos(this, IDLE_PARK_NANOS);
        }
        idle = false;
    }

    private void handle(HostEvent event) {
        try {
            List<HostAction> hostActions = hostCore.on(System.nanoTime(), event);
            hostActions.forEach(actions::perform);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "event=decision-error on=%s", event.getClass().getSimpleName());
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}

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
 * The thread that owns the host's decisions: takes events from a bounded ring and hands the actions
 * on.
 */
final class HostDuty implements Runnable, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long FULL_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long WALL_CLOCK_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int BATCH = 256;
    private static final int MAX_QUESTIONS = 64;

    private final StateMachine<HostEvent, HostAction> core;
    private final HostActions actions;
    private final MpscAtomicArrayQueue<HostEvent> ring;
    private final MpscAtomicArrayQueue<Runnable> questions =
            new MpscAtomicArrayQueue<>(MAX_QUESTIONS);
    private final long tickNanos;
    private long nextWallClockNanos = System.nanoTime();
    private volatile Thread owner;
    private volatile boolean idle;
    private volatile boolean closed;

    HostDuty(StateMachine<HostEvent, HostAction> core, HostActions actions, EntryLimits limits) {
        this.core = core;
        this.actions = actions;
        this.ring = new MpscAtomicArrayQueue<>(limits.ringEvents());
        this.tickNanos = TimeUnit.MILLISECONDS.toNanos(limits.tickMillis());
    }

    /** Adds an event; false when the ring is full. */
    boolean offer(HostEvent event) {
        boolean taken = ring.offer(event);
        if (idle) {
            LockSupport.unpark(owner);
        }
        return taken;
    }

    /** Adds an event, holding the calling reader back while the ring is full. */
    void add(HostEvent event) {
        while (!offer(event)) {
            if (closed) {
                return;
            }
            LockSupport.parkNanos(FULL_WAIT_NANOS);
        }
    }

    /** Runs a question on the decisions' thread; fails when too many wait. */
    <T> CompletableFuture<T> ask(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        boolean taken = questions.offer(() -> answer(question, answer));
        if (!taken) {
            answer.completeExceptionally(new IllegalStateException("too many questions wait"));
        }
        return answer;
    }

    private static <T> void answer(Supplier<T> question, CompletableFuture<T> answer) {
        try {
            answer.complete(question.get());
        } catch (RuntimeException e) {
            answer.completeExceptionally(e);
        }
    }

    int waiting() {
        return ring.size();
    }

    @Override
    public void run() {
        owner = Thread.currentThread();
        long nextTickNanos = System.nanoTime();
        while (!closed) {
            int handled = drain();
            answerOne();
            long nowNanos = System.nanoTime();
            if (nowNanos - nextTickNanos >= 0) {
                handle(new HostEvent.Tick());
                tellWallClock(nowNanos);
                nextTickNanos = nowNanos + tickNanos;
            }
            if (handled == 0) {
                await();
            }
        }
    }

    /** Daily windows are the only decisions on wall time. */
    private void tellWallClock(long nowNanos) {
        if (nowNanos - nextWallClockNanos >= 0) {
            handle(new HostEvent.WallClock(System.currentTimeMillis()));
            nextWallClockNanos = nowNanos + WALL_CLOCK_NANOS;
        }
    }

    private void answerOne() {
        Runnable question = questions.poll();
        if (question != null) {
            question.run();
        }
    }

    private int drain() {
        int handled = 0;
        while (handled < BATCH) {
            HostEvent event = ring.poll();
            if (event == null) {
                return handled;
            }
            handle(event);
            handled++;
        }
        return handled;
    }

    private void await() {
        idle = true;
        if (ring.isEmpty()) {
            LockSupport.parkNanos(this, IDLE_NANOS);
        }
        idle = false;
    }

    private void handle(HostEvent event) {
        try {
            List<HostAction> todo = core.on(System.nanoTime(), event);
            todo.forEach(actions::perform);
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

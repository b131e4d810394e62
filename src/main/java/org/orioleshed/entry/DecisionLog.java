package org.orioleshed.entry;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.orioleshed.host.Decision;
import org.orioleshed.model.ServerId;

/**
 * Writes decisions to the log on a separate thread. When the ring buffer is full, lines are dropped
 * and counted.
 */
final class DecisionLog implements Runnable, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final MpscAtomicArrayQueue<Decision> ring;
    private final Counter dropped;
    private volatile boolean closed;

    DecisionLog(int capacity, Counter dropped) {
        this.ring = new MpscAtomicArrayQueue<>(capacity);
        this.dropped = dropped;
    }

    /** Queues a decision, or drops and counts it when the ring buffer is full. */
    void add(Decision decision) {
        if (!ring.offer(decision)) {
            dropped.inc();
        }
    }

    @Override
    public void run() {
        while (!closed) {
            writeAll();
            LockSupport.parkNanos(IDLE_NANOS);
        }
        writeAll();
    }

    private void writeAll() {
        for (Decision next = ring.poll(); next != null; next = ring.poll()) {
            write(next);
        }
    }

    private static void write(Decision decision) {
        logger.atInfo().log(
                "event=%s request=%s attempt=%d tier=%s server=%s candidates=%s reason=%s",
                decision.kind(),
                decision.run().request(),
                decision.run().attempt(),
                decision.tier(),
                decision.server().map(ServerId::value).orElse("none"),
                decision.candidates(),
                decision.reason());
    }

    @Override
    public void close() {
        closed = true;
    }
}

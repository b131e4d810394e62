package org.orioleshed.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * Writes log lines on a separate thread. When the ring is full, lines are dropped and counted;
 * callers never block.
 */
public final class LogRing implements AutoCloseable {
    /** A few seconds of lines at a host's maximum load. */
    private static final int CAPACITY = 8_192;

    /** Lines are written in batches, since each write is a system call. */
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final MpscAtomicArrayQueue<String> ring = new MpscAtomicArrayQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Creates a log and starts its thread.
     *
     * @param out receives the lines in UTF-8
     */
    public LogRing(OutputStream out) {
        this.out = out;
        this.thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Adds a line of key=value pairs, or drops and counts it if the ring is full. */
    public void add(String line) {
        if (!ring.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void run() {
        long reported = 0;
        while (!closed) {
            LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            reported = writeAll(reported);
        }
        writeAll(reported);
    }

    private long writeAll(long reported) {
        StringBuilder text = new StringBuilder();
        for (String line = ring.poll(); line != null; line = ring.poll()) {
            text.append(line).append('\n');
        }
        long lost = dropped.get();
        if (lost > reported) {
            text.append("event=log_dropped lines=").append(lost - reported).append('\n');
        }
        write(text);
        return lost;
    }

    private void write(StringBuilder text) {
        if (text.isEmpty()) {
            return;
        }
        try {
            out.write(text.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            // The log's reader has closed; requests are still served, and the loss is counted.
            dropped.incrementAndGet();
        }
    }

    /** Writes the pending lines and stops the thread. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(TimeUnit.SECONDS.toMillis(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

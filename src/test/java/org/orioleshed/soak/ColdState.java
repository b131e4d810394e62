package org.orioleshed.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** The cold state of a server, in which it crashes when it receives requests too fast. */
final class ColdState {
    static final long WARMUP_SECONDS = 3;

    /** The requests per second of a cold server; below what it receives while it is warm. */
    static final double PER_SECOND = 2;

    /** The requests to a cold server that the rule allows in one second. */
    static final double MAX_PER_SECOND =
            PER_SECOND * HostSettings.COLD_OVER + HostSettings.COLD_SLACK;

    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double CRASH_FACTOR = 1.5;

    private final Deque<Long> arrivalsNanos = new ArrayDeque<>();
    private boolean stated;
    private long endNanos;

    synchronized void begin(long nowNanos) {
        arrivalsNanos.clear();
        stated = true;
        endNanos = nowNanos + TimeUnit.SECONDS.toNanos(WARMUP_SECONDS);
    }

    /** Records a request; returns whether it crashes the server. */
    synchronized boolean crashes(long nowNanos) {
        if (!isCold(nowNanos)) {
            return false;
        }
        arrivalsNanos.add(nowNanos);
        while (nowNanos - arrivalsNanos.getFirst() >= WINDOW_NANOS) {
            arrivalsNanos.removeFirst();
        }
        return arrivalsNanos.size() > CRASH_FACTOR * MAX_PER_SECOND;
    }

    /** Returns the field of a server's entry; empty where the server was never cold. */
    synchronized String entryField(long nowNanos) {
        return stated ? ",\"warmup-left-ms\":%d".formatted(leftMillis(nowNanos)) : "";
    }

    /** Returns the header field of a response; empty where the server is not cold. */
    synchronized String header(long nowNanos) {
        return isCold(nowNanos) ? "X-Warmup-Ms: %d\r\n".formatted(leftMillis(nowNanos)) : "";
    }

    private boolean isCold(long nowNanos) {
        return stated && nowNanos < endNanos;
    }

    private long leftMillis(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos));
    }
}

package org.orioleshed.dispatch;

import java.util.ArrayDeque;

/** Counts events of the last second. */
final class SendWindow {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final ArrayDeque<Long> timesNanos = new ArrayDeque<>();

    /** Records an event that happens now. */
    void add(long nowNanos) {
        prune(nowNanos);
        timesNanos.addLast(nowNanos);
    }

    /** Returns the number of events in the last second. */
    int count(long nowNanos) {
        prune(nowNanos);
        return timesNanos.size();
    }

    private void prune(long nowNanos) {
        while (!timesNanos.isEmpty() && nowNanos - timesNanos.peekFirst() >= WINDOW_NANOS) {
            timesNanos.removeFirst();
        }
    }
}

package org.orioleshed.request;

import java.util.PriorityQueue;

/** Wakes requests when their state or a caller's deadline asks for it. */
final class Wakes<T extends KeyedRequest> {
    private final PriorityQueue<Wake<T>> queue = new PriorityQueue<>();

    /** Makes sure that a request is woken in time. */
    void schedule(T request) {
        if (request.closed) {
            return;
        }
        long at = Math.min(request.nextDeadlineNanos(), request.stateWakeNanos());
        if (at < request.wakeNanos) {
            request.wakeNanos = at;
            queue.add(new Wake<>(at, request));
        }
    }

    /** Returns a request that is due, or null; it has to be scheduled again. */
    T poll(long nowNanos) {
        while (!queue.isEmpty() && queue.peek().atNanos <= nowNanos) {
            Wake<T> wake = queue.poll();
            T request = wake.request;
            if (request.closed || request.wakeNanos != wake.atNanos) {
                continue;
            }
            request.wakeNanos = Long.MAX_VALUE;
            return request;
        }
        return null;
    }

    private record Wake<T>(long atNanos, T request) implements Comparable<Wake<T>> {
        @Override
        public int compareTo(Wake<T> other) {
            return Long.compare(atNanos, other.atNanos);
        }
    }
}

package org.orioleshed.request;

import java.util.PriorityQueue;

/** The timers of requests, due at the next timer of their state or deadline of a caller. */
final class Timers<T extends KeyedRequest> {
    private final PriorityQueue<Timer<T>> queue = new PriorityQueue<>();

    /** Schedules the next timer of a request. */
    void schedule(T request) {
        if (request.closed) {
            return;
        }
        long at = Math.min(request.nextDeadlineNanos(), request.stateTimerNanos());
        if (at < request.timerNanos) {
            request.timerNanos = at;
            queue.add(new Timer<>(at, request));
        }
    }

    /** Returns a request whose timer is due, or null; the request has to be scheduled again. */
    T poll(long nowNanos) {
        while (!queue.isEmpty() && queue.peek().atNanos <= nowNanos) {
            Timer<T> timer = queue.poll();
            T request = timer.request;
            if (request.closed || request.timerNanos != timer.atNanos) {
                continue;
            }
            request.timerNanos = Long.MAX_VALUE;
            return request;
        }
        return null;
    }

    private record Timer<T>(long atNanos, T request) implements Comparable<Timer<T>> {
        @Override
        public int compareTo(Timer<T> other) {
            return Long.compare(atNanos, other.atNanos);
        }
    }
}

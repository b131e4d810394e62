package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;
import org.orioleshed.dispatch.RunKey;

/** The search for a server that takes a request over from one that has fallen silent. */
sealed interface Successor {
    /**
     * How long both servers may work on a request. Within it, the request goes on at the server
     * that sends something first; afterwards the silent one is abandoned.
     */
    long OVERLAP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The pause before another server is looked for again. */
    long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** No successor is being looked for. */
    record None() implements Successor {}

    /** None was found; one is looked for again after a pause. */
    record Pausing(long sinceNanos) implements Successor {
        boolean isOver(long nowNanos) {
            return nowNanos - sinceNanos >= RETRY_NANOS;
        }
    }

    /** A slot has been requested. */
    record Placing(RunKey run) implements Successor {}

    /**
     * A server was granted, and the request is sent there as soon as a connection is open.
     *
     * @param framer the stream as it goes on at this server
     */
    record Sent(ServerAttempt attempt, EventFramer framer, long grantedNanos) implements Successor {
        /** Returns whether the server has had the request for as long as both may work on it. */
        boolean isOverlapOver(long nowNanos) {
            return attempt.pendingSend().wasSent(OVERLAP_NANOS, nowNanos);
        }

        /** Returns whether another attempt has sent something since this server was granted. */
        boolean isOvertakenBy(ServerAttempt other, long nowNanos) {
            return other.silentMillis(nowNanos)
                    < TimeUnit.NANOSECONDS.toMillis(nowNanos - grantedNanos);
        }
    }
}

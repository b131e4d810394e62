package org.orioleshed.model;

import java.util.List;

/**
 * A decision as a state machine: no I/O, clock, thread or randomness of its own.
 *
 * @param <E> the sealed type of its events
 * @param <A> the sealed type of its actions
 */
public interface StateMachine<E, A> {
    /**
     * Takes an event and returns what to do about it, in order.
     *
     * @param nowNanos the time on the host's monotonic clock; never goes back
     * @param event what happened
     */
    List<A> on(long nowNanos, E event);
}

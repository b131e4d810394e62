package org.orioleshed.model;

import java.util.List;

/**
 * A state machine that makes decisions without I/O, clock, threads or randomness of its own.
 *
 * @param <E> the sealed type of its events
 * @param <A> the sealed type of its actions
 */
public interface StateMachine<E, A> {
    /**
     * Handles an event and returns the actions to execute, in order.
     *
     * @param nowNanos the time on the host's monotonic clock; never decreases
     * @param event what happened
     */
    List<A> on(long nowNanos, E event);
}

package org.orioleshed.catalog;

/** What may be repeated of a call. */
public enum Repeatability {
    /** The call may run any number of times. */
    IDEMPOTENT,
    /** The call runs at most once for each attempt of its caller. */
    ONCE,
    /** The answer is a stream of events, which may be resumed only where the route says so. */
    STREAM
}

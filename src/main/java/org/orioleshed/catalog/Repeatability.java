package org.orioleshed.catalog;

/** Whether a call may be repeated. */
public enum Repeatability {
    /** The call may run any number of times. */
    IDEMPOTENT,
    /** The call runs at most once for each attempt of the caller. */
    ONCE,
    /** The response is a stream of events, which may be resumed only if the route is resumable. */
    STREAM
}

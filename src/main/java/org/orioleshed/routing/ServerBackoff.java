package org.orioleshed.routing;

/**
 * Exponential backoff for an engine that crashed, is unreachable, or returns consecutive errors. No
 * new runs start during the backoff; a single run then probes the engine.
 */
final class ServerBackoff {
    private static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
    private static final int MAX_DOUBLINGS = 5;
    private static final int ERRORS_PER_FAILURE = 3;

    private int failures;
    private int errors;
    private long untilNanos;
    private boolean probing;

    /** Records that the engine crashed or could not be reached. */
    void failed(long nowNanos) {
        if (active(nowNanos)) {
            return;
        }
        untilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        errors = 0;
        probing = true;
    }

    /** Records an engine error; several consecutive errors count as a failure. */
    void errored(long nowNanos) {
        errors++;
        if (errors >= ERRORS_PER_FAILURE) {
            failed(nowNanos);
        }
    }

    /** Records that the engine is working, and ends the backoff. */
    void succeeded() {
        failures = 0;
        errors = 0;
        probing = false;
    }

    boolean active(long nowNanos) {
        return failures > 0 && untilNanos - nowNanos > 0;
    }

    /** Returns whether the engine has done no work since the last failure. */
    boolean probing() {
        return probing;
    }

    long remainingMillis(long nowNanos) {
        return active(nowNanos) ? (untilNanos - nowNanos) / DecisionContext.NANOS_PER_MILLI : 0;
    }
}

package org.orioleshed.routing;

/**
 * Keeps new work from an engine that went down or fails at once, for a time that doubles with each
 * failure; then lets one run try it.
 */
final class ServerBackoff {
    private static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
    private static final int MAX_DOUBLINGS = 5;
    private static final int CONSECUTIVE_ERRORS = 3;

    private int failures;
    private int errors;
    private long untilNanos;
    private boolean probing;

    /** Notes that the engine went down or could not be reached. */
    void failed(long nowNanos) {
        if (active(nowNanos)) {
            return;
        }
        untilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        errors = 0;
        probing = true;
    }

    /** Notes an error of the engine; several in a row count as a failure. */
    void errored(long nowNanos) {
        errors++;
        if (errors >= CONSECUTIVE_ERRORS) {
            failed(nowNanos);
        }
    }

    /** Notes that the engine does work. */
    void succeeded() {
        failures = 0;
        errors = 0;
        probing = false;
    }

    boolean active(long nowNanos) {
        return failures > 0 && untilNanos - nowNanos > 0;
    }

    /** Returns whether the engine has yet to show that it works again. */
    boolean probing() {
        return probing;
    }

    long remainingMillis(long nowNanos) {
        return active(nowNanos) ? (untilNanos - nowNanos) / DecisionContext.NANOS_PER_MILLI : 0;
    }
}

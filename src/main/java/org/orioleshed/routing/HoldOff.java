package org.orioleshed.routing;

/**
 * Keeps new work from an engine that went down or fails at once, for a time that doubles with each
 * failure; then lets one run try it.
 */
final class HoldOff {
    private static final long SHORTEST_NANOS = 250_000_000L;
    private static final int MOST_DOUBLINGS = 5;
    private static final int ERRORS_IN_A_ROW = 3;

    private int failures;
    private int errors;
    private long untilNanos;
    private boolean probing;

    /** Notes that the engine went down or could not be reached. */
    void failed(long nowNanos) {
        if (active(nowNanos)) {
            return;
        }
        untilNanos = nowNanos + (SHORTEST_NANOS << Math.min(failures, MOST_DOUBLINGS));
        failures++;
        errors = 0;
        probing = true;
    }

    /** Notes an error of the engine; several in a row count as a failure. */
    void errored(long nowNanos) {
        errors++;
        if (errors >= ERRORS_IN_A_ROW) {
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
        return active(nowNanos) ? (untilNanos - nowNanos) / Moment.NANOS_PER_MILLI : 0;
    }
}

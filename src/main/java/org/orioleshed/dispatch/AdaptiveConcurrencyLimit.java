package org.orioleshed.dispatch;

/**
 * Decides how many requests one start of a server may have in flight after it started or after a
 * fault that indicates that it is unavailable. It gets one trial request, then a window that rises
 * with each timely response, is halved by failures and late responses, and ends at the number of
 * slots. The design note is {@code docs/design/adaptive-concurrency.md}.
 */
final class AdaptiveConcurrencyLimit {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The pause before the first trial; doubled with each failed one. */
    private static final long INITIAL_PAUSE_MILLIS = 250;

    /**
     * The longest pause of a server with one slot. The fixed backoff sends as many requests as a
     * server has slots after this pause; a trial is one request, so the longest pause is divided by
     * the slots and as many requests are at risk in the same time.
     */
    private static final long MAX_PAUSE_MILLIS = 4_000;

    /** The number of doublings from the initial to the longest pause. */
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Sixteen times as many responses per step: with more, a server whose runs break now and then
     * for another reason stayed at one request for thousands of responses.
     */
    private static final int MAX_COUNTED_FAULTS = 4;

    private boolean paced;
    private double window;

    /** Above this window, responses raise it more slowly; infinite until a decrease. */
    private double cautiousWindow;

    private int faultsAboveOne;
    private int failedTrials;
    private boolean onlySilent;
    private long resetNanos;
    private long decreasedNanos;
    private long pausedUntilNanos;

    /** What happened to a server, as seen in its runs. */
    sealed interface Event {
        /** It started a short time ago. */
        record Started() implements Event {}

        /**
         * A run had a fault that indicates that the server is unavailable.
         *
         * @param sentNanos when the run was placed, on the monotonic clock
         * @param silent whether the run timed out, so that the server may only have paused
         */
        record Unavailable(long sentNanos, boolean silent) implements Event {}

        /**
         * The server answered that it failed or rejected a run.
         *
         * @param sentNanos when the run was placed, on the monotonic clock
         */
        record Failed(long sentNanos) implements Event {}

        /**
         * A run had its first event or its answer.
         *
         * @param sentNanos when the run was placed, on the monotonic clock
         * @param timing how its time compares to what is expected
         */
        record Responded(long sentNanos, Timing timing) implements Event {}
    }

    /** How the time of a response compares to the server's own speed and the caller's target. */
    enum Timing {
        /** As fast as the server's speed explains. */
        TIMELY,
        /** Slower than that, but in time for the caller, or not the first response of its run. */
        NEUTRAL,
        /** Slower than the server's speed explains and than the caller's target. */
        LATE
    }

    /** What an event changed. */
    enum Change {
        /** Nothing that is to be logged. */
        NONE,
        /** Pacing began. */
        BEGUN,
        /** The window was reduced. */
        DECREASED,
        /** The window reached the slots; the server is in full use. */
        ENDED,
        /** The server responded on a run older than its silence; it had no fault. */
        SUSPICION_ENDED
    }

    /**
     * Takes over at which window an earlier start of the same server had faults, if it was still
     * paced.
     */
    void inherit(AdaptiveConcurrencyLimit earlier) {
        if (paced && earlier.paced) {
            cautiousWindow = earlier.cautiousWindow;
            faultsAboveOne = earlier.faultsAboveOne;
        }
    }

    /** Returns whether the server is paced. */
    boolean isPaced() {
        return paced;
    }

    /** Returns the largest number of requests in flight; at least one. */
    int limit() {
        return paced ? (int) window : Integer.MAX_VALUE;
    }

    /** Returns whether the next trial request is not due yet. */
    boolean isPausing(long nowNanos) {
        return paced && nowNanos < pausedUntilNanos;
    }

    /**
     * Applies an event.
     *
     * @param slots the server's slots
     */
    Change on(long nowNanos, Event event, int slots) {
        return switch (event) {
            case Event.Started started -> begin(nowNanos - 1, false);
            case Event.Unavailable fault -> recordUnavailable(fault, nowNanos, slots);
            case Event.Failed failed -> decrease(failed.sentNanos(), nowNanos);
            case Event.Responded responded -> recordResponse(responded, nowNanos, slots);
        };
    }

    private Change begin(long atNanos, boolean silent) {
        paced = true;
        window = 1;
        cautiousWindow = Double.POSITIVE_INFINITY;
        faultsAboveOne = 0;
        failedTrials = 0;
        onlySilent = silent;
        resetNanos = atNanos;
        decreasedNanos = atNanos;
        pausedUntilNanos = Long.MIN_VALUE;
        return Change.BEGUN;
    }

    private Change recordUnavailable(Event.Unavailable fault, long nowNanos, int slots) {
        if (!paced) {
            begin(nowNanos, fault.silent());
            pause(nowNanos, slots);
            return Change.BEGUN;
        }
        onlySilent &= fault.silent();
        if (fault.sentNanos() <= resetNanos) {
            // The other runs that the same fault ended say nothing new.
            return Change.NONE;
        }
        boolean reduced = window >= 2;
        if (reduced) {
            cautiousWindow = window / 2;
            faultsAboveOne = Math.min(faultsAboveOne + 1, MAX_COUNTED_FAULTS);
        } else {
            failedTrials = Math.min(failedTrials + 1, MAX_DOUBLINGS);
        }
        window = 1;
        resetNanos = nowNanos;
        decreasedNanos = nowNanos;
        pause(nowNanos, slots);
        return reduced ? Change.DECREASED : Change.NONE;
    }

    private void pause(long nowNanos, int slots) {
        long maxMillis = Math.max(INITIAL_PAUSE_MILLIS, MAX_PAUSE_MILLIS / Math.max(1, slots));
        long pauseMillis = Math.min(maxMillis, INITIAL_PAUSE_MILLIS << failedTrials);
        pausedUntilNanos = nowNanos + pauseMillis * NANOS_PER_MILLI;
    }

    /** Halves the window, at most once for the runs that were in flight at the same time. */
    private Change decrease(long sentNanos, long nowNanos) {
        if (!paced || sentNanos <= decreasedNanos || window < 2) {
            return Change.NONE;
        }
        window = window / 2;
        cautiousWindow = window;
        decreasedNanos = nowNanos;
        return Change.DECREASED;
    }

    private Change recordResponse(Event.Responded responded, long nowNanos, int slots) {
        if (!paced) {
            return Change.NONE;
        }
        pausedUntilNanos = Long.MIN_VALUE;
        if (onlySilent && responded.sentNanos() <= resetNanos) {
            paced = false;
            return Change.SUSPICION_ENDED;
        }
        return switch (responded.timing()) {
            case NEUTRAL -> Change.NONE;
            case LATE -> decrease(responded.sentNanos(), nowNanos);
            case TIMELY -> increase(slots);
        };
    }

    /**
     * Raises the window by one; above half of the window at the last decrease, by one for as many
     * responses as the window. Each fault at a window above one doubles that number: such a server
     * becomes unavailable at a certain concurrency, and its faults grow only with the logarithm of
     * the requests that it serves.
     */
    private Change increase(int slots) {
        failedTrials = 0;
        double repeats = Math.pow(2, faultsAboveOne);
        window += window < cautiousWindow ? 1 : 1 / (window * repeats);
        if (window < slots) {
            return Change.NONE;
        }
        paced = false;
        return Change.ENDED;
    }
}

package org.orioleshed.gateway;

import org.orioleshed.catalog.CallRoute;

/**
 * Decides whether a request may be sent to another server. What may have run is sent again only
 * where its route allows that, and to no more servers than it allows; what provably has not run may
 * always be sent again, a few times.
 */
final class RetryRule {
    /** Attempts that provably did not run the request, beside those that may have. */
    private static final int MAX_PROVED_ATTEMPTS = 3;

    /** With less time left than this, no server could answer. */
    private static final long MIN_ATTEMPT_MILLIS = 30;

    /** A server that is silent for this many targets, or usual pauses, is given up for another. */
    private static final double SILENT_TARGETS = 1.5;

    private static final double SILENT_GAPS = 2.5;

    /** A shorter silence is usual for a server under load. */
    private static final long LEAST_SILENCE_MILLIS = 700;

    private final CallRoute route;
    private int runs;
    private int provedAttempts;
    private boolean mayHaveRun;

    RetryRule(CallRoute route) {
        this.route = route;
    }

    /** The request was sent. */
    void sent() {
        runs++;
    }

    /** The server that was chosen is not there any more; nothing was sent. */
    void notSent() {
        provedAttempts++;
    }

    /** The request that was sent has provably not run. */
    void provedNotRun() {
        runs--;
        provedAttempts++;
    }

    /** The request that was sent has run, or may have. */
    void ran() {
        mayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    int attempts() {
        return runs + provedAttempts;
    }

    /**
     * Returns whether the request may be sent to another server.
     *
     * @param proved whether the last attempt provably did not run it
     * @param leftMillis the time that its caller still waits, in milliseconds
     */
    boolean mayRetry(boolean proved, long leftMillis) {
        if (leftMillis < MIN_ATTEMPT_MILLIS) {
            return false;
        }
        if (proved) {
            return provedAttempts <= MAX_PROVED_ATTEMPTS;
        }
        return route.mayRunAgain() && runs < route.attempts();
    }

    /** Returns whether a server has said nothing for longer than one under load does. */
    boolean isSilent(ServerAttempt which, long nowNanos) {
        double usualMillis =
                which.hasEvents()
                        ? SILENT_GAPS * route.gapMillis()
                        : SILENT_TARGETS * route.targetMillis();
        return which.silentMillis(nowNanos) > Math.max(LEAST_SILENCE_MILLIS, usualMillis);
    }
}

package org.orioleshed.gateway;

import org.orioleshed.catalog.CallRoute;

/**
 * Decides whether a request may be sent to another server. A request that may have run is sent
 * again only if its route allows that, and to no more servers than it allows. A request that
 * provably has not run may always be sent again, a limited number of times.
 */
final class RetryRule {
    /** Attempts that provably did not run the request, not counting those that may have. */
    private static final int MAX_NOT_RUN_ATTEMPTS = 3;

    /** With less time left than this, no server could respond. */
    private static final long MIN_ATTEMPT_MILLIS = 30;

    /** A server that sends no first event for this many latency targets is silent. */
    private static final double SILENT_TARGETS = 1.5;

    /** A server that pauses between events for this many usual gaps is silent. */
    private static final double SILENT_GAPS = 2.5;

    /** A shorter silence is normal for a server under load. */
    private static final long MIN_SILENCE_MILLIS = 700;

    /** How much more time a server has while its whole pool is silent. */
    private static final int POOL_SILENCE_FACTOR = 2;

    private final CallRoute route;
    private final int maxRuns;
    private int possibleRuns;
    private int notRunAttempts;
    private boolean mayHaveRun;

    RetryRule(CallRoute route) {
        this(route, route.attempts());
    }

    /**
     * Creates the rule of a request.
     *
     * @param maxRuns the maximum number of servers at which it may run
     */
    RetryRule(CallRoute route, int maxRuns) {
        this.route = route;
        this.maxRuns = maxRuns;
    }

    /** Records that the request was sent. */
    void sent() {
        possibleRuns++;
    }

    /** Records that the chosen server is no longer usable and nothing was sent. */
    void notSent() {
        notRunAttempts++;
    }

    /** Records that the request that was sent provably did not run. */
    void provedNotRun() {
        possibleRuns--;
        notRunAttempts++;
    }

    /** Records that the request that was sent ran, or may have run. */
    void ran() {
        mayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    int attempts() {
        return possibleRuns + notRunAttempts;
    }

    /**
     * Returns whether the request may be sent to another server.
     *
     * @param proved whether the last attempt provably did not run the request
     * @param leftMillis the time left for the request, in milliseconds
     */
    boolean mayRetry(boolean proved, long leftMillis) {
        if (leftMillis < MIN_ATTEMPT_MILLIS) {
            return false;
        }
        if (proved) {
            return notRunAttempts <= MAX_NOT_RUN_ATTEMPTS;
        }
        return route.mayRunAgain() && possibleRuns < maxRuns;
    }

    /**
     * Returns whether a server has been silent for longer than is normal under load. The time in
     * which no server of its pool sends anything does not count, since another one would be as
     * silent, unless it lasts for long.
     *
     * @param pool when the servers of the pool sent something
     */
    boolean isSilent(ServerAttempt attempt, PoolActivity pool, long nowNanos) {
        double usualMillis =
                attempt.hasEvents()
                        ? SILENT_GAPS * route.gapMillis()
                        : SILENT_TARGETS * route.targetMillis();
        double allowedMillis = Math.max(MIN_SILENCE_MILLIS, usualMillis);
        long silentMillis = attempt.silentMillis(nowNanos);
        long silentAloneMillis = Math.min(silentMillis, pool.activeMillis(nowNanos));
        return silentAloneMillis > allowedMillis
                || silentMillis > POOL_SILENCE_FACTOR * allowedMillis;
    }
}

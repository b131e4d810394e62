package org.orioleshed.dispatch;

/**
 * A run on a server.
 *
 * @param request the placement request
 * @param sentNanos when it was placed, on the monotonic clock
 * @param prefillTokens the prompt tokens that the server processes before the first event of this
 *     run, its own included; 0 after that event, and for plain services
 * @param waitsForFirst whether its first event is outstanding
 * @param duringWarmup whether its server was cold at any moment of the run; its times then tell
 *     nothing of the server's speed
 */
record ActiveRun(
        PlacementRequest request,
        long sentNanos,
        long prefillTokens,
        boolean waitsForFirst,
        boolean duringWarmup) {
    ActiveRun afterFirstEvent() {
        return new ActiveRun(request, sentNanos, 0, false, duringWarmup);
    }

    ActiveRun markedWarmup() {
        return new ActiveRun(request, sentNanos, prefillTokens, waitsForFirst, true);
    }

    /** Returns whether the run timed out at a cold server, which is no fault. */
    boolean isSlowByWarmup(RunReport report) {
        return duringWarmup && report.outcome() == RunReport.Outcome.TIMED_OUT;
    }

    /** Returns the number of tokens that the run occupies at most. */
    long tokens() {
        return request.promptTokens() + request.outputTokens();
    }
}

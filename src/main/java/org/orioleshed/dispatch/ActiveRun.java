package org.orioleshed.dispatch;

/**
 * A run on a server.
 *
 * @param request the placement request
 * @param sentNanos when it was placed, on the monotonic clock
 * @param prefillTokens the prompt tokens that the server processes before the first event of this
 *     run, its own included; 0 after that event, and for plain services
 * @param waitsForFirst whether its first event is outstanding
 */
record ActiveRun(
        PlacementRequest request, long sentNanos, long prefillTokens, boolean waitsForFirst) {
    ActiveRun afterFirstEvent() {
        return new ActiveRun(request, sentNanos, 0, false);
    }

    /** Returns the number of tokens that the run occupies at most. */
    long tokens() {
        return request.promptTokens() + request.outputTokens();
    }
}

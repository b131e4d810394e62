package org.orioleshed.dispatch;

/**
 * A run at a server.
 *
 * @param request what it needs
 * @param sentNanos when it was placed
 * @param reading the tokens that the server had to read up to its first event, its own included; 0
 *     once that event came, and for plain services
 * @param waitsForFirst whether nothing came of it yet
 */
record Running(PlacementRequest request, long sentNanos, long reading, boolean waitsForFirst) {
    Running begun() {
        return new Running(request, sentNanos, 0, false);
    }

    /** Returns the memory that it needs at most. */
    long tokens() {
        return request.promptTokens() + request.outputTokens();
    }
}

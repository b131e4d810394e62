package org.orioleshed.dispatch;

/**
 * A run at a server.
 *
 * @param ask what it needs
 * @param sentNanos when it was placed
 * @param reading the tokens that the server had to read up to its first event, its own included; 0
 *     once that event came, and for plain services
 * @param waitsForFirst whether nothing came of it yet
 */
record Running(Ask ask, long sentNanos, long reading, boolean waitsForFirst) {
    Running begun() {
        return new Running(ask, sentNanos, 0, false);
    }

    /** Returns the memory that it needs at most. */
    long tokens() {
        return ask.promptTokens() + ask.outputTokens();
    }
}

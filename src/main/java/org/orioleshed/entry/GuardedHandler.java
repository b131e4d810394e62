package org.orioleshed.entry;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;

/**
 * Ends the exchange of another handler, also if that handler fails. A response that has begun and
 * can't be completed is left without its last chunk: the server closes the connection of an
 * exchange whose handler throws, while {@link HttpExchange#close} would end the chunks.
 */
final class GuardedHandler implements HttpHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final CallerError INTERNAL_ERROR =
            new CallerError(500, "internal", "failed", "internal error", -1);

    private final HttpHandler handler;
    private final Counter callersGone;

    /**
     * Creates the guard of a handler.
     *
     * @param callersGone counts the callers that disconnected
     */
    GuardedHandler(HttpHandler handler, Counter callersGone) {
        this.handler = handler;
        this.callersGone = callersGone;
    }

    @Override
    public void handle(HttpExchange http) throws IOException {
        try {
            handler.handle(http);
        } catch (IOException e) {
            callersGone.inc();
            throw e;
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=caller-error path=%s", http.getRequestURI());
            if (hasBegun(http)) {
                throw e;
            }
            CallerReply.sendError(http, INTERNAL_ERROR);
        }
        http.close();
    }

    private static boolean hasBegun(HttpExchange http) {
        return http.getResponseCode() >= 0;
    }
}

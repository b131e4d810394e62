package org.orioleshed.entry;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;

/**
 * What the decisions hand to the thread that serves one caller. The decisions send no more tokens
 * than the caller took, so the queue stays short.
 */
final class CallerExchange {
    private final Request request;
    private final LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();

    /** A piece of the answer, or its end. */
    sealed interface Piece {
        /** Tokens to be written. */
        record Tokens(int count, Payload text) implements Piece {}

        /** The final outcome. */
        record End(Outcome outcome) implements Piece {}
    }

    CallerExchange(Request request) {
        this.request = request;
    }

    Request request() {
        return request;
    }

    void add(HostAction.WriteTokens tokens) {
        pieces.add(new Piece.Tokens(tokens.count(), tokens.text()));
    }

    void end(Outcome outcome) {
        pieces.add(new Piece.End(outcome));
    }

    /** Returns the next piece, or null when none comes in time. */
    Piece next(long timeoutMillis) throws InterruptedException {
        return pieces.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    }
}

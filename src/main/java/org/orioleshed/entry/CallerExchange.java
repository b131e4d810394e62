package org.orioleshed.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;

/**
 * Queue of output from the event loop to the thread that serves one caller. The event loop sends no
 * more tokens than the caller consumes, so the queue stays short. It has one producer and one
 * consumer.
 */
final class CallerExchange {
    private final Request request;
    private final EntryMetrics metrics;
    private final LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
    private long lastTokenNanos;

    /** A part of the answer, or its end. */
    sealed interface Piece {
        /** Tokens to write to the caller. */
        record Tokens(int count, Payload text) implements Piece {}

        /** The final outcome. */
        record End(Outcome outcome) implements Piece {}
    }

    CallerExchange(Request request, EntryMetrics metrics) {
        this.request = request;
        this.metrics = metrics;
    }

    Request request() {
        return request;
    }

    void add(HostAction.WriteTokens tokens, long nowNanos) {
        if (lastTokenNanos == 0) {
            metrics.firstToken(request, nowNanos);
        } else {
            metrics.tokens(request, tokens.count(), nowNanos - lastTokenNanos);
        }
        lastTokenNanos = nowNanos;
        pieces.add(new Piece.Tokens(tokens.count(), tokens.text()));
    }

    void end(Outcome outcome, long nowNanos) {
        metrics.ended(request, outcome, nowNanos);
        pieces.add(new Piece.End(outcome));
    }

    /**
     * Returns the next piece, or null on timeout. Tokens that are already queued are joined into
     * one piece.
     */
    Piece next(long timeoutMillis) throws InterruptedException {
        Piece first = pieces.poll(timeoutMillis, TimeUnit.MILLISECONDS);
        if (!(first instanceof Piece.Tokens tokens) || !(pieces.peek() instanceof Piece.Tokens)) {
            return first;
        }
        int count = tokens.count();
        List<Payload> texts = new ArrayList<>();
        texts.add(tokens.text());
        while (pieces.peek() instanceof Piece.Tokens more) {
            pieces.remove();
            count += more.count();
            texts.add(more.text());
        }
        return new Piece.Tokens(count, Payload.join(texts));
    }
}

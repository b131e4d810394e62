package org.orioleshed.entry;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.function.Consumer;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Request;
import org.orioleshed.model.Work;

/**
 * Serves one admitted request on its caller's thread until the final outcome, or until the caller
 * disconnects.
 */
final class CallerSession {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CallerExchange exchange;
    private final CallerReply reply;
    private final boolean streaming;
    private final EntryLimits limits;
    private final Consumer<HostEvent> events;
    private final StringBuilder bufferedText = new StringBuilder();
    private final long openedNanos = System.nanoTime();

    CallerSession(
            HttpExchange http,
            CallerExchange exchange,
            boolean streaming,
            EntryLimits limits,
            Consumer<HostEvent> events) {
        this.exchange = exchange;
        this.reply = new CallerReply(http, exchange.request());
        this.streaming = streaming;
        this.limits = limits;
        this.events = events;
    }

    /** Writes each piece as it arrives. */
    void serve() throws InterruptedException {
        Request request = exchange.request();
        try {
            while (!handleNext()) {
                keepAlive();
            }
        } catch (IOException e) {
            events.accept(new HostEvent.CallerGone(request.id()));
        }
    }

    /** Handles the next piece, if any, and returns whether the answer is complete. */
    private boolean handleNext() throws IOException, InterruptedException {
        CallerExchange.Piece piece = exchange.next(limits.keepAliveMillis());
        return switch (piece) {
            case null -> false;
            case CallerExchange.Piece.Tokens tokens -> {
                writeTokens(tokens);
                yield false;
            }
            case CallerExchange.Piece.End end -> {
                finish(end.outcome());
                yield true;
            }
        };
    }

    private void writeTokens(CallerExchange.Piece.Tokens tokens) throws IOException {
        if (streaming) {
            reply.writeTokens(tokens.text());
        } else {
            bufferedText.append(tokens.text().text());
        }
        events.accept(new HostEvent.CallerConsumed(exchange.request().id(), tokens.count()));
    }

    private void keepAlive() throws IOException {
        long openMillis = (System.nanoTime() - openedNanos) / NANOS_PER_MILLI;
        if (!streaming || openMillis < limits.streamAfterMillis()) {
            return;
        }
        reply.openStream();
        reply.keepAlive();
    }

    private void finish(Outcome outcome) throws IOException {
        switch (outcome) {
            case Outcome.Answered answered -> finish(answered);
            case Outcome.Failed failed -> reply.writeError(CallerError.of(failed));
            case Outcome.NotRun notRun -> reply.writeError(CallerError.of(notRun));
            case Outcome.InDoubt inDoubt -> reply.writeError(CallerError.of(inDoubt));
        }
    }

    private void finish(Outcome.Answered answered) throws IOException {
        if (exchange.request().work() instanceof Work.Call) {
            reply.writeBody(answered.body());
            return;
        }
        if (streaming) {
            reply.endStream();
            return;
        }
        reply.writeCompletion(
                bufferedText.isEmpty() ? answered.body().text() : bufferedText.toString(),
                answered.tokens());
    }
}

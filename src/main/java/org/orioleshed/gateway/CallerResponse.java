package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.orioleshed.http.BodyEnd;

/** The response to a caller: what was sent of it, and what is kept for it. */
final class CallerResponse {
    /** The longest answer of a failed server that is kept while another server is tried. */
    private static final int MAX_KEPT_ANSWER_BYTES = 64 << 10;

    private final CallerConnection caller;
    private final HeaderTranslator translator;

    /** The answer of a server that failed, for the caller if no other server answers. */
    private Optional<ServerAnswer> keptAnswer = Optional.empty();

    private boolean streaming;
    private BodyEnd streamEnd = BodyEnd.UNKNOWN;

    CallerResponse(CallerConnection caller, HeaderTranslator translator) {
        this.caller = caller;
        this.translator = translator;
    }

    /** Returns whether the head of a stream was sent. */
    boolean isStreaming() {
        return streaming;
    }

    /** Returns how the caller is told the end of its stream; unknown before its head was sent. */
    BodyEnd streamEnd() {
        return streamEnd;
    }

    /** Returns whether the caller was told that the end of its stream will be stated. */
    boolean awaitsStatedEnd() {
        return streamEnd.isStated();
    }

    /**
     * Sends the head of a stream.
     *
     * @param serverEnd how the server's response tells where its body ends
     */
    void beginStream(HttpResponse head, BodyEnd serverEnd) {
        streaming = true;
        streamEnd =
                caller.beginStream(head.status(), translator.toCaller(head.headers()), serverEnd);
    }

    /** Sends events of a stream. */
    void write(byte[] events) {
        caller.writeStreamPart(events);
    }

    /** Ends a stream that is complete. */
    void endStream() {
        caller.endStream();
    }

    /** Sends a whole answer. */
    void send(ServerAnswer answer) {
        caller.respond(
                answer.head().status(),
                translator.toCaller(answer.head().headers()),
                answer.body().toBytes(),
                answer.bodyEnd());
    }

    /** Keeps the answer of a server that failed while another server is tried. */
    void keep(ServerAnswer answer) {
        keptAnswer = Optional.of(answer);
    }

    /** Returns the answer of a server that failed, if one is kept. */
    Optional<ServerAnswer> keptAnswer() {
        return keptAnswer;
    }

    /** Drops a failed server's answer that is too large to be kept while another one is tried. */
    void dropLargeAnswer() {
        keptAnswer = keptAnswer.filter(it -> it.body().size() <= MAX_KEPT_ANSWER_BYTES);
    }
}

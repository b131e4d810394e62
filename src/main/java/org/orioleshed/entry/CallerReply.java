package org.orioleshed.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;

/** Writes an answer to a caller, whole or as a stream of events. */
final class CallerReply {
    private static final int OK = 200;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] ALIVE = ": alive\n\n".getBytes(StandardCharsets.UTF_8);

    private final HttpExchange http;
    private final Request request;
    private OutputStream stream;

    CallerReply(HttpExchange http, Request request) {
        this.http = http;
        this.request = request;
        http.getResponseHeaders().set("X-Request-Id", request.id().toString());
    }

    boolean streamOpen() {
        return stream != null;
    }

    /** Opens the stream of events, unless it is open. */
    void openStream() throws IOException {
        if (stream != null) {
            return;
        }
        Headers headers = http.getResponseHeaders();
        headers.set("Content-Type", "text/event-stream");
        headers.set("Cache-Control", "no-store");
        http.sendResponseHeaders(OK, 0);
        stream = http.getResponseBody();
    }

    /** Writes a sign of life, which also shows whether the caller is still there. */
    void alive() throws IOException {
        stream.write(ALIVE);
        stream.flush();
    }

    /** Writes a piece of the answer as an event. */
    void tokens(Payload text) throws IOException {
        openStream();
        event(chunk(text.text(), null));
    }

    /** Ends a whole stream. */
    void endStream() throws IOException {
        openStream();
        event(chunk("", "stop"));
        stream.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        stream.close();
    }

    /** Answers with an error, as a status or, in a started stream, as an event. */
    void error(CallerError error) throws IOException {
        if (stream != null) {
            stream.write("event: error\n".getBytes(StandardCharsets.UTF_8));
            event(error.json());
            stream.close();
            return;
        }
        sendError(http, error);
    }

    /** Answers with the whole text of a model. */
    void whole(String text, int tokens) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", request.id().toString());
        root.put("object", "chat.completion");
        root.put("model", request.route().value());
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", "stop");
        root.putObject("usage").put("completion_tokens", tokens);
        send(http, OK, root.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with the body of a plain service. */
    void body(Payload body) throws IOException {
        send(http, OK, body.toBytes());
    }

    /** Answers an exchange with an error and Retry-After where sending again makes sense. */
    static void sendError(HttpExchange http, CallerError error) throws IOException {
        if (error.retryAfterMillis() >= 0) {
            long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            http.getResponseHeaders().set("Retry-After", Long.toString(Math.max(1, seconds)));
        }
        send(http, error.status(), error.json().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers an exchange with a JSON body. */
    static void send(HttpExchange http, int status, byte[] json) throws IOException {
        http.getResponseHeaders().set("Content-Type", "application/json");
        http.sendResponseHeaders(status, json.length == 0 ? -1 : json.length);
        try (OutputStream out = http.getResponseBody()) {
            out.write(json);
        }
    }

    private String chunk(String content, String finishReason) {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", request.id().toString());
        root.put("object", "chat.completion.chunk");
        root.put("model", request.route().value());
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!content.isEmpty()) {
            delta.put("content", content);
        }
        choice.put("finish_reason", finishReason);
        return root.toString();
    }

    private void event(String json) throws IOException {
        stream.write(("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.flush();
    }
}

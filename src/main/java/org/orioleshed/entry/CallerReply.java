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

/** Writes the response to a caller, as one JSON body or as a stream of server-sent events. */
final class CallerReply {
    private static final int OK = 200;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] KEEP_ALIVE = ": alive\n\n".getBytes(StandardCharsets.UTF_8);

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

    /** Sends the response headers of the event stream unless they are sent already. */
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

    /** Writes a keep-alive comment; this fails when the caller has disconnected. */
    void keepAlive() throws IOException {
        stream.write(KEEP_ALIVE);
        stream.flush();
    }

    /** Writes tokens as one event. */
    void writeTokens(Payload text) throws IOException {
        openStream();
        writeEvent(chunkJson(text.text(), null));
    }

    /** Writes the final events of a completed answer and closes the stream. */
    void endStream() throws IOException {
        openStream();
        writeEvent(chunkJson("", "stop"));
        stream.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        stream.close();
    }

    /** Writes an error: as an event if the stream is open, otherwise as an HTTP status. */
    void writeError(CallerError error) throws IOException {
        if (stream != null) {
            stream.write("event: error\n".getBytes(StandardCharsets.UTF_8));
            writeEvent(error.json());
            stream.close();
            return;
        }
        sendError(http, error);
    }

    /** Writes the complete answer of a model as JSON. */
    void writeCompletion(String text, int tokens) throws IOException {
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

    /** Writes the response body of a service. */
    void writeBody(Payload body) throws IOException {
        send(http, OK, body.toBytes());
    }

    /** Writes an error, with a Retry-After header if the request may be retried. */
    static void sendError(HttpExchange http, CallerError error) throws IOException {
        if (error.retryAfterMillis() >= 0) {
            long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            http.getResponseHeaders().set("Retry-After", Long.toString(Math.max(1, seconds)));
        }
        send(http, error.status(), error.json().getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a JSON response. */
    static void send(HttpExchange http, int status, byte[] json) throws IOException {
        http.getResponseHeaders().set("Content-Type", "application/json");
        http.sendResponseHeaders(status, json.length == 0 ? -1 : json.length);
        try (OutputStream out = http.getResponseBody()) {
            out.write(json);
        }
    }

    private String chunkJson(String content, String finishReason) {
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

    private void writeEvent(String json) throws IOException {
        stream.write(("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.flush();
    }
}

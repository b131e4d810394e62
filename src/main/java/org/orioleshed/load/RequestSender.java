package org.orioleshed.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import org.orioleshed.load.FleetLayout.Host;

/** Sends a request to an entry host and reads the response on the calling thread. */
final class RequestSender {
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE = "[DONE]";

    private final Http http;
    private final PlannedRequest request;
    private final LatencyHistograms tokenGaps;
    private long firstByteNanos;
    private long lastTokenNanos;

    RequestSender(Http http, PlannedRequest request, LatencyHistograms tokenGaps) {
        this.http = http;
        this.request = request;
        this.tokenGaps = tokenGaps;
    }

    /**
     * Returns the time of the first byte of an answer, as {@link System#nanoTime}; zero if there
     * was none.
     */
    long firstByteNanos() {
        return firstByteNanos;
    }

    /**
     * Sends the request and reads the reply.
     *
     * @throws java.net.ConnectException if the connection failed, so that nothing was sent
     * @throws InterruptedException if the thread was interrupted; the connection is closed
     */
    Reply send(Host host, long remainingMillis) throws IOException, InterruptedException {
        HttpResponse<InputStream> response =
                http.client.send(httpRequest(host, remainingMillis), BodyHandlers.ofInputStream());
        try (InputStream body = response.body()) {
            if (response.statusCode() != 200) {
                return errorReply(Json.MAPPER.readTree(body).path("error"));
            }
            return request.traffic().payload() instanceof Traffic.Payload.Text
                    ? readStream(body)
                    : readCall(body);
        } catch (JsonProcessingException e) {
            return new Reply.Broken("not JSON: " + e.getOriginalMessage());
        }
    }

    private HttpRequest httpRequest(Host host, long remainingMillis) {
        String path =
                switch (request.traffic().payload()) {
                    case Traffic.Payload.Text text -> "/v1/chat/completions";
                    case Traffic.Payload.Call call ->
                            "/v1/services/" + request.traffic().route() + "/" + call.call();
                };
        return HttpRequest.newBuilder(URI.create(host.callerUrl() + path))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + Deployment.bearerKey(request.workspace()))
                .header("Idempotency-Key", request.tag())
                .header("X-Tier", request.traffic().tier())
                .header("X-Deadline-Millis", String.valueOf(remainingMillis))
                .POST(HttpRequest.BodyPublishers.ofString(RequestBody.json(request)))
                .build();
    }

    private static Reply errorReply(JsonNode error) {
        if (!error.path("ran").isTextual()) {
            return new Reply.Broken("an error without the word whether it ran");
        }
        return new Reply.ErrorReply(
                error.path("code").asText(),
                error.path("ran").asText(),
                error.path("retryAfterMillis").asLong(-1));
    }

    private Reply readCall(InputStream body) throws IOException {
        JsonNode response = Json.MAPPER.readTree(body);
        firstByteNanos = System.nanoTime();
        return new Reply.Complete(response.path("tag").asText().equals(request.tag()));
    }

    private Reply readStream(InputStream body) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean errorEvent = false;
        var reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("event: error")) {
                errorEvent = true;
            }
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals(DONE)) {
                return new Reply.Complete(
                        text.toString().equals(RequestBody.expectedAnswer(request)));
            }
            JsonNode chunk = Json.MAPPER.readTree(data);
            if (errorEvent || chunk.has("error")) {
                return errorReply(chunk.path("error"));
            }
            appendToken(
                    chunk.path("choices").path(0).path("delta").path("content").asText(""), text);
        }
        return new Reply.Broken("the stream ended early");
    }

    private void appendToken(String content, StringBuilder text) {
        if (content.isEmpty()) {
            return;
        }
        text.append(content);
        long nowNanos = System.nanoTime();
        if (firstByteNanos == 0) {
            firstByteNanos = nowNanos;
        } else {
            tokenGaps.record(request.traffic().tier(), nowNanos - lastTokenNanos);
        }
        lastTokenNanos = nowNanos;
    }
}

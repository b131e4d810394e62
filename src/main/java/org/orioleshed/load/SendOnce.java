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

/** One send of a request to an entry host, read to its end on the calling thread. */
final class SendOnce {
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final Http http;
    private final PlannedRequest request;
    private final Timings gaps;
    private long firstByteNanos;
    private long lastTokenNanos;

    SendOnce(Http http, PlannedRequest request, Timings gaps) {
        this.http = http;
        this.request = request;
        this.gaps = gaps;
    }

    /**
     * Returns when the first byte of an answer came, in {@link System#nanoTime}; zero for never.
     */
    long firstByteNanos() {
        return firstByteNanos;
    }

    /**
     * Sends the request.
     *
     * @throws java.net.ConnectException if the host cannot be reached: nothing was sent
     * @throws InterruptedException if the thread was interrupted; the connection is then closed
     */
    Reply send(Host host, long remainingMillis) throws IOException, InterruptedException {
        HttpResponse<InputStream> response =
                http.client.send(message(host, remainingMillis), BodyHandlers.ofInputStream());
        try (InputStream body = response.body()) {
            if (response.statusCode() != 200) {
                return refusal(Json.MAPPER.readTree(body).path("error"));
            }
            return request.traffic().ask() instanceof Traffic.Ask.Text
                    ? readStream(body)
                    : readCall(body);
        } catch (JsonProcessingException e) {
            return new Reply.Broken("not JSON: " + e.getOriginalMessage());
        }
    }

    private HttpRequest message(Host host, long remainingMillis) {
        String path =
                switch (request.traffic().ask()) {
                    case Traffic.Ask.Text text -> "/v1/chat/completions";
                    case Traffic.Ask.Call call ->
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

    private static Reply refusal(JsonNode error) {
        if (!error.path("ran").isTextual()) {
            return new Reply.Broken("an error without the word whether it ran");
        }
        return new Reply.Refusal(
                error.path("code").asText(),
                error.path("ran").asText(),
                error.path("retryAfterMillis").asLong(-1));
    }

    private Reply readCall(InputStream body) throws IOException {
        JsonNode answer = Json.MAPPER.readTree(body);
        firstByteNanos = System.nanoTime();
        return new Reply.Whole(answer.path("tag").asText().equals(request.tag()));
    }

    private Reply readStream(InputStream body) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean error = false;
        var reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("event: error")) {
                error = true;
            }
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            if (data.equals(DONE)) {
                return new Reply.Whole(text.toString().equals(RequestBody.answer(request)));
            }
            JsonNode chunk = Json.MAPPER.readTree(data);
            if (error || chunk.has("error")) {
                return refusal(chunk.path("error"));
            }
            take(chunk.path("choices").path(0).path("delta").path("content").asText(""), text);
        }
        return new Reply.Broken("the stream ended early");
    }

    private void take(String content, StringBuilder text) {
        if (content.isEmpty()) {
            return;
        }
        text.append(content);
        long now = System.nanoTime();
        if (firstByteNanos == 0) {
            firstByteNanos = now;
        } else {
            gaps.record(request.traffic().tier(), now - lastTokenNanos);
        }
        lastTokenNanos = now;
    }
}

package org.orioleshed.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.orioleshed.http.HttpClients;

/** An HTTP client of the admin API of one entry host. */
final class AdminClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(45);

    private final URI baseUri;
    private final String key;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpClient http = HttpClients.create(CONNECT_TIMEOUT, threads);

    AdminClient(URI baseUri, String key) {
        this.baseUri = baseUri;
        this.key = key;
    }

    /**
     * An HTTP call.
     *
     * @param path the path after {@link AdminServer#PREFIX}, with escaped segments
     */
    record Call(String method, String path, Map<String, String> query, Optional<ObjectNode> body) {
        static Call get(String path, Map<String, String> query) {
            return new Call("GET", path, query, Optional.empty());
        }

        static Call send(String method, String path, ObjectNode body) {
            return new Call(method, path, Map.of(), Optional.of(body));
        }
    }

    /** An HTTP status and the JSON body. */
    record Response(int status, JsonNode body) {}

    /**
     * Sends the call and waits for the response.
     *
     * @throws IOException if the host cannot be reached or its response is not JSON
     */
    Response call(Call call) throws IOException, InterruptedException {
        HttpRequest.BodyPublisher body =
                call.body()
                        .map(node -> HttpRequest.BodyPublishers.ofString(node.toString()))
                        .orElseGet(HttpRequest.BodyPublishers::noBody);
        HttpRequest request =
                HttpRequest.newBuilder(baseUri.resolve(AdminServer.PREFIX + path(call)))
                        .timeout(CALL_TIMEOUT)
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "application/json")
                        .method(call.method(), body)
                        .build();
        HttpResponse<String> response =
                http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        try {
            return new Response(response.statusCode(), AdminJson.MAPPER.readTree(response.body()));
        } catch (JsonProcessingException e) {
            throw new IOException("response is not JSON, HTTP status " + response.statusCode(), e);
        }
    }

    private static String path(Call call) {
        StringBuilder path = new StringBuilder(call.path());
        char separator = '?';
        for (Map.Entry<String, String> entry : new TreeMap<>(call.query()).entrySet()) {
            path.append(separator).append(entry.getKey()).append('=');
            path.append(escape(entry.getValue()));
            separator = '&';
        }
        return path.toString();
    }

    static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public void close() {
        http.shutdownNow();
        threads.shutdown();
    }
}

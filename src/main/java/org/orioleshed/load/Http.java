package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.Executors;

/** The HTTP client shared by control calls and callers. */
final class Http {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(5);

    final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .followRedirects(HttpClient.Redirect.NEVER)
                    .executor(Executors.newVirtualThreadPerTaskExecutor())
                    .build();

    /**
     * Posts JSON and returns the JSON of the response.
     *
     * @throws IOException if the request fails or the status is not 200
     */
    JsonNode post(String url, Object body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(CONTROL_TIMEOUT)
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        Json.MAPPER.writeValueAsString(body)))
                        .build();
        return send(request);
    }

    /**
     * Returns the JSON of the response to a GET request.
     *
     * @throws IOException if the request fails or the status is not 200
     */
    JsonNode get(String url) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create(url)).timeout(CONTROL_TIMEOUT).build());
    }

    private JsonNode send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
        if (response.statusCode() != 200) {
            String text = new String(response.body(), java.nio.charset.StandardCharsets.UTF_8);
            throw new IOException(
                    request.uri() + " returned status " + response.statusCode() + ": " + text);
        }
        return Json.MAPPER.readTree(response.body());
    }
}

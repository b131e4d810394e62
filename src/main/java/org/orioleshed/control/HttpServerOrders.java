package org.orioleshed.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.VersionId;
import org.orioleshed.rollout.ServerOrder;

/** Sends orders over HTTP. Orders are idempotent, so a lost answer needs no handling here. */
public final class HttpServerOrders implements ServerOrders {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    private final HttpClient client;

    /**
     * Creates the sender of orders.
     *
     * @param client an HTTP/1.1 client that follows no redirects
     */
    public HttpServerOrders(HttpClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<Boolean> order(BackendServer server, ServerOrder order, long fence) {
        HttpRequest request =
                request(server, "/v1/orders")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body(order, fence)))
                        .build();
        return send(request).thenApply(Optional::isPresent);
    }

    @Override
    public CompletableFuture<Optional<VersionId>> version(BackendServer server) {
        return send(request(server, "/v1/state").GET().build())
                .thenApply(body -> body.flatMap(HttpServerOrders::readVersion));
    }

    private static HttpRequest.Builder request(BackendServer server, String path) {
        URI address = server.address().resolve(path);
        return HttpRequest.newBuilder(address).timeout(TIMEOUT);
    }

    private CompletableFuture<Optional<String>> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, error) ->
                                error == null && response.statusCode() == HTTP_OK
                                        ? Optional.of(response.body())
                                        : Optional.empty());
    }

    private static String body(ServerOrder order, long fence) {
        ObjectNode body = MAPPER.createObjectNode();
        switch (order) {
            case ServerOrder.Load load -> put(body, "load", load.target(), load.version());
            case ServerOrder.Unload unload ->
                    put(body, "unload", unload.target(), unload.version());
            case ServerOrder.ChangeRole change ->
                    body.put("order", "role").put("role", change.role());
        }
        return body.put("fence", fence).toString();
    }

    private static void put(ObjectNode body, String order, Target target, VersionId version) {
        body.put("order", order).put("version", version.value());
        switch (target) {
            case Target.Model model -> body.put("model", model.model().value());
            case Target.Service service -> body.put("service", service.service().value());
        }
    }

    private static Optional<VersionId> readVersion(String body) {
        try {
            JsonNode version = MAPPER.readTree(body).path("version");
            return version.isTextual() && !version.textValue().isBlank()
                    ? Optional.of(new VersionId(version.textValue()))
                    : Optional.empty();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

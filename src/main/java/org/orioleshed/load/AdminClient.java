package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import org.orioleshed.load.FleetLayout.Host;

/** Client of the admin API of entry hosts, authenticated as an operator. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(12);
    private static final String PATH_PREFIX = "/v1/admin/";

    private final Http http;

    AdminClient(Http http) {
        this.http = http;
    }

    /** A response of a host. */
    record Response(int status, JsonNode body) {}

    /** Sets the value at a path of the settings. */
    Response set(Host host, String path, JsonNode value, String reason)
            throws IOException, InterruptedException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("path", path).put("reason", reason).set("value", value);
        return call(host, "PUT", "settings", body);
    }

    /** Returns the revision of the settings in force on a host; zero when the response has none. */
    long revision(Host host) throws IOException, InterruptedException {
        return call(host, "GET", "settings?path=tiers", null).body().path("revision").asLong();
    }

    /** Plans a rollout of the new version of a model on the given routes. */
    Response planRollout(
            Host host, String id, String model, List<String> routes, long completeByMillis)
            throws IOException, InterruptedException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("id", id).put("target", "model:" + model);
        body.put("from", FleetLayout.OLD_VERSION).put("to", FleetLayout.NEW_VERSION);
        body.put("completeByMillis", completeByMillis).put("reason", "an experiment");
        routes.forEach(body.putArray("routes")::add);
        return call(host, "POST", "moves", body);
    }

    /** Returns the status of a rollout on a host. */
    Response rollout(Host host, String id) throws IOException, InterruptedException {
        return call(host, "GET", "moves/" + id, null);
    }

    private Response call(Host host, String method, String path, JsonNode body)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body.toString());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(host.adminUrl() + PATH_PREFIX + path))
                        .header("Authorization", "Bearer " + FleetFiles.OPERATOR_KEY)
                        .timeout(TIMEOUT)
                        .method(method, publisher)
                        .build();
        HttpResponse<byte[]> response = http.client.send(request, BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), Json.MAPPER.readTree(response.body()));
    }
}

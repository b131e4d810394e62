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

/** An operator at the admin API of entry hosts. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(12);
    private static final String PREFIX = "/v1/admin/";

    private final Http http;

    AdminClient(Http http) {
        this.http = http;
    }

    /** What a host answered. */
    record Answer(int status, JsonNode body) {}

    /** Changes the value at a path of the settings. */
    Answer set(Host host, String path, JsonNode value, String reason)
            throws IOException, InterruptedException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("path", path).put("reason", reason).set("value", value);
        return call(host, "PUT", "settings", body);
    }

    /** Returns the revision of the settings in force on a host; zero when it does not say. */
    long revision(Host host) throws IOException, InterruptedException {
        return call(host, "GET", "settings?path=tiers", null).body().path("revision").asLong();
    }

    /** Plans a move of a model between two versions on the given routes. */
    Answer plan(Host host, String id, String model, List<String> routes, long completeByMillis)
            throws IOException, InterruptedException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("id", id).put("target", "model:" + model);
        body.put("from", FleetLayout.OLD_VERSION).put("to", FleetLayout.NEW_VERSION);
        body.put("completeByMillis", completeByMillis).put("reason", "an experiment");
        routes.forEach(body.putArray("routes")::add);
        return call(host, "POST", "moves", body);
    }

    /** Returns what a host tells of a move. */
    Answer rollout(Host host, String id) throws IOException, InterruptedException {
        return call(host, "GET", "moves/" + id, null);
    }

    private Answer call(Host host, String method, String path, JsonNode body)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body.toString());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(host.adminUrl() + PREFIX + path))
                        .header("Authorization", "Bearer " + FleetFiles.OPERATOR_KEY)
                        .timeout(TIMEOUT)
                        .method(method, publisher)
                        .build();
        HttpResponse<byte[]> response = http.client.send(request, BodyHandlers.ofByteArray());
        return new Answer(response.statusCode(), Json.MAPPER.readTree(response.body()));
    }
}

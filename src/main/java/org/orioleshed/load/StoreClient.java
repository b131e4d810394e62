package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.orioleshed.load.FleetLayout.Host;
import org.orioleshed.load.FleetLayout.Server;

/** Writes an experiment's settings and the platform's host and server lists to the store. */
final class StoreClient {
    private final Http http;
    private final String url;

    StoreClient(Http http, String url) {
        this.http = http;
        this.url = url;
    }

    /** Writes the settings and the lists of live hosts and servers, each key only if absent. */
    void prepare(FleetLayout layout) throws IOException, InterruptedException {
        for (Host host : layout.hosts()) {
            ObjectNode entry = Json.MAPPER.createObjectNode();
            entry.put("state", "live").put("domain", host.domain()).put("peerAddress", host.peer());
            putIfAbsent("platform/hosts/" + host.id(), entry);
        }
        for (Server server : layout.servers()) {
            ObjectNode entry = Json.MAPPER.createObjectNode().put("state", "live");
            putIfAbsent("platform/servers/" + server.id(), entry);
        }
        putIfAbsent("orioleshed/settings/tree", new FleetFiles(layout).settingsTree());
    }

    /** Returns the JSON value of a key, or a missing node if the key does not exist. */
    JsonNode value(String key) throws IOException, InterruptedException {
        ObjectNode range = Json.MAPPER.createObjectNode().put("key", encode(key));
        JsonNode value = http.post(url + "/v3/kv/range", range).at("/kvs/0/value");
        return value.isMissingNode()
                ? value
                : Json.MAPPER.readTree(Base64.getDecoder().decode(value.asText()));
    }

    private void putIfAbsent(String key, JsonNode value) throws IOException, InterruptedException {
        ObjectNode transaction = Json.MAPPER.createObjectNode();
        transaction
                .putArray("compare")
                .addObject()
                .put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", "0");
        transaction
                .putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", encode(key))
                .put("value", encode(value.toString()));
        http.post(url + "/v3/kv/txn", transaction);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}

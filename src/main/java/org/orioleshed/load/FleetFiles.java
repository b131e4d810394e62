package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.orioleshed.load.FleetLayout.Host;
import org.orioleshed.load.FleetLayout.Server;

/** Writes the configuration files of an experiment: entry hosts, settings and stand-ins. */
final class FleetFiles {
    /** The bearer key of the operator with permission to change settings. */
    static final String OPERATOR_KEY = "key-of-the-operator";

    private static final int SLOTS = 16;
    private static final int SERVICE_SLOTS = 32;
    private static final int CACHE_TOKENS = 60_000;
    private static final int MAX_WAITING = 400;
    private static final int MAX_OUTPUT_TOKENS = 4_000;
    private static final long DRAIN_MILLIS = 30_000;

    private final FleetLayout layout;

    FleetFiles(FleetLayout layout) {
        this.layout = layout;
    }

    /** Writes all files; the file of an entry host is named {@code hostConfig-ID.json}. */
    void write(Path directory, String policy) throws IOException {
        Files.createDirectories(directory);
        write(directory.resolve("standin.json"), Json.MAPPER.valueToTree(layout.standinSpec()));
        write(directory.resolve("tree.json"), settingsTree());
        for (Host host : layout.hosts()) {
            write(directory.resolve("entry-" + host.id() + ".json"), hostConfig(host, policy));
        }
        List<String> ids = layout.hosts().stream().map(Host::id).toList();
        Files.write(directory.resolve("hosts.txt"), ids);
    }

    private static void write(Path file, JsonNode content) throws IOException {
        Json.MAPPER.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), content);
    }

    private ObjectNode hostConfig(Host self, String policy) {
        ObjectNode config = Json.MAPPER.createObjectNode();
        config.putObject("host").put("id", self.id()).put("domain", self.domain());
        config.putObject("addresses")
                .put("caller", self.caller())
                .put("peer", self.peer())
                .put("admin", self.admin());
        var peers = config.putArray("peers");
        for (Host host : layout.hosts()) {
            if (!host.id().equals(self.id())) {
                peers.addObject()
                        .put("id", host.id())
                        .put("domain", host.domain())
                        .put("peerAddress", host.peer());
            }
        }
        config.putObject("store").putArray("addresses").add(layout.storeUrl());
        config.putArray("operators")
                .addObject()
                .put("name", "operator")
                .put("keyHash", sha256Hex(OPERATOR_KEY))
                .put("role", "change");
        return config.put("drainMillis", DRAIN_MILLIS).put("policy", policy);
    }

    /** Returns the settings tree of the deployment. */
    ObjectNode settingsTree() {
        ObjectNode tree = Json.MAPPER.createObjectNode();
        ObjectNode tiers = tree.putObject("tiers");
        tiers.putObject("urgent").put("rank", 0);
        tiers.putObject("standard").put("rank", 1);
        tiers.putObject("patient").put("rank", 2);
        putRoutes(tree);
        putServers(tree.putObject("servers"));
        putWorkspaces(tree.putObject("workspaces"));
        return tree;
    }

    private void putRoutes(ObjectNode tree) {
        ObjectNode routes = tree.putObject("routes");
        ObjectNode versions = tree.putObject("currentVersions");
        ObjectNode calls = Json.MAPPER.createObjectNode();
        for (Traffic traffic : layout.deployment().mix()) {
            switch (traffic.payload()) {
                case Traffic.Payload.Text text -> {
                    routes.putObject(traffic.route()).put("model", layout.deployment().model());
                    versions.put(traffic.route(), FleetLayout.OLD_VERSION);
                }
                case Traffic.Payload.Call call ->
                        calls.putObject(call.call()).put("repeatable", call.repeatable());
            }
        }
        String service = layout.deployment().serviceRoute();
        routes.putObject(service).put("service", service).set("calls", calls);
    }

    private void putServers(ObjectNode servers) {
        servers.putObject("defaults")
                .put("places", SLOTS)
                .put("cacheTokens", CACHE_TOKENS)
                .put("canResume", true)
                .put("checksFencing", true)
                .put("leaving", false);
        ObjectNode branches = servers.putObject("branches");
        for (String domain : layout.deployment().domains()) {
            ObjectNode branch = branches.putObject(domain);
            branch.putObject("defaults").put("domain", domain);
            ObjectNode items = branch.putObject("items");
            layout.servers().stream()
                    .filter(server -> server.domain().equals(domain))
                    .forEach(server -> putServer(items, server));
        }
    }

    private static void putServer(ObjectNode items, Server server) {
        ObjectNode item = items.putObject(server.id());
        item.put("address", server.url());
        if (server.isModel()) {
            item.put("model", server.target());
        } else {
            item.put("service", server.target());
            item.put("places", SERVICE_SLOTS).put("cacheTokens", 0);
        }
        item.put("version", server.version()).put("generation", server.generation().id());
    }

    private void putWorkspaces(ObjectNode workspaces) {
        ObjectNode defaults = workspaces.putObject("defaults");
        defaults.put("weight", 1)
                .put("maxWaiting", MAX_WAITING)
                .put("maxOutputTokens", MAX_OUTPUT_TOKENS)
                .put("defaultTier", "standard");
        ObjectNode tiers = defaults.putObject("tiers");
        tiers.putObject("urgent").put("deadlineMillis", 10_000);
        tiers.putObject("standard").put("deadlineMillis", 60_000);
        tiers.putObject("patient").put("deadlineMillis", 600_000);
        ObjectNode branch = workspaces.putObject("branches").putObject(layout.deployment().id());
        branch.putObject("defaults");
        ObjectNode items = branch.putObject("items");
        for (String workspace : layout.deployment().workspaces()) {
            items.putObject(workspace)
                    .putArray("keyHashes")
                    .add(sha256Hex(Deployment.bearerKey(workspace)));
        }
    }

    private static String sha256Hex(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }
}

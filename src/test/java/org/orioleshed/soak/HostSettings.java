package org.orioleshed.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a host's settings file. */
final class HostSettings {
    static final long GRACE_SECONDS = 6;
    static final long QUOTA_WINDOW_SECONDS = 8;
    static final double QUOTA_OVER = 0.1;
    static final long QUOTA_SLACK_TOKENS = 2_000;
    private static final int MAX_SEEDS = 3;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HostSettings() {}

    /**
     * Writes them at once, so that no reader sees a part.
     *
     * @param retrySlack what a changed file changes
     */
    static void write(
            Path file,
            List<String> ips,
            int host,
            String zone,
            InetSocketAddress store,
            int retrySlack)
            throws IOException {
        ObjectNode root = MAPPER.createObjectNode();
        String ip = ips.get(host);
        root.put("ip", ip).put("zone", zone);
        root.putArray("port-range").add(HostAddresses.PEER_PORT).add(HostAddresses.METRICS_PORT);
        ips.stream()
                .limit(MAX_SEEDS)
                .forEach(seed -> root.withArray("seeds").add(seed + ":" + HostAddresses.PEER_PORT));
        ObjectNode zones = root.putObject("zones");
        SoakFleet.ZONES.forEach(name -> zones.put(name, "region"));
        root.putObject("listen")
                .put("front", ip + ":" + HostAddresses.CALLERS_PORT)
                .put("ready", ip + ":" + HostAddresses.READY_PORT);
        root.putObject("bounds")
                .put("grace-s", GRACE_SECONDS)
                .put("retry-ratio", 0.2)
                .put("retry-window-s", 10)
                .put("retry-slack", retrySlack)
                .put("quota-over", QUOTA_OVER)
                .put("quota-slack", QUOTA_SLACK_TOKENS)
                .put("expose-share", 0.1)
                .put("expose-slack", 50);
        root.putObject("platform").put("address", "127.0.0.1:" + store.getPort());
        Path part = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(part, root.toString());
        Files.move(
                part,
                file,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }
}

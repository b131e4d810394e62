package org.orioleshed.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.gateway.GatewayOptions;
import org.orioleshed.gateway.LogRing;
import org.orioleshed.model.FailureDomain;

/**
 * Some hosts on loopback with fake servers. The first host reaches the servers over paths that a
 * test can break, so it has its own copy of the store; the others reach them directly.
 */
final class RelayFleet implements AutoCloseable {
    static final int SERVERS = 4;
    private static final int SLOTS = 32;
    private static final long GRACE_MILLIS = 2_000;

    final List<WorkerFake> servers = new ArrayList<>();
    final List<ServerPath> paths = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();

    /** The paths to the hosts' listeners for forwarded requests. */
    final List<ServerPath> relayPaths = new ArrayList<>();

    private final List<InetSocketAddress> peers = new ArrayList<>();

    /** One host with its store. */
    static final class Host {
        final StoreFake store = new StoreFake();
        final GatewayOptions options;
        final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
        final LogRing log = new LogRing(logBytes);
        final PlatformNode node;

        private Host(GatewayOptions options, String config, List<String> entries, long incarnation)
                throws IOException {
            this.options = options;
            store.put("op/config", config);
            for (int i = 0; i < entries.size(); i++) {
                store.put("servers/i-" + (i + 1), entries.get(i));
            }
            node = new PlatformNode(options, store.address(), log, incarnation);
            node.start();
        }

        String log() {
            return logBytes.toString(StandardCharsets.UTF_8);
        }

        long counter(String name) {
            return node.gateway().metrics().counter(name).getCount();
        }

        Socket connect() throws IOException {
            return new Socket(options.callers().getAddress(), options.callers().getPort());
        }

        /** Sends a request and returns the response. */
        String send(String request) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write(WorkerFake.bytes(request));
                return new String(
                        socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    /**
     * Starts the hosts; the last one is the primary.
     *
     * @param unitsPerSecond the quota of the only workspace
     */
    RelayFleet(int count, long timeoutMillis, long unitsPerSecond) throws IOException {
        this(count, Fleet.CONFIG.formatted(timeoutMillis, unitsPerSecond));
    }

    /** Starts the hosts with a configuration; the last one is the primary. */
    RelayFleet(int count, String config) throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new WorkerFake());
            paths.add(new ServerPath(servers.get(i).address()));
        }
        for (int i = 1; i <= count; i++) {
            peers.add(freeRange("127.0.0." + i));
        }
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(options(i), config, entries(i == 0), count - i));
        }
        Fleet.await(
                () ->
                        hosts.stream()
                                .allMatch(
                                        host -> host.log().contains("event=fleet live=" + count)));
        Fleet.await(
                () ->
                        hosts.stream()
                                .allMatch(
                                        host ->
                                                Fleet.get(host.options.ready(), "/ready")
                                                        .startsWith("HTTP/1.1 200")));
    }

    private GatewayOptions options(int index) throws IOException {
        InetSocketAddress peer = peers.get(index);
        List<InetSocketAddress> seeds = new ArrayList<>(peers);
        seeds.remove(index);
        InetSocketAddress relay = free(peer.getAddress());
        relayPaths.add(
                new ServerPath(
                        relay, new InetSocketAddress(peer.getAddress(), peer.getPort() + 2)));
        return new GatewayOptions(
                new FailureDomain("z" + index),
                free(peer.getAddress()),
                free(peer.getAddress()),
                new InetSocketAddress(peer.getAddress(), peer.getPort() + 1),
                peer,
                Optional.of(relay),
                seeds,
                peers.size(),
                1,
                10_000,
                50,
                Quotas.Slack.NONE,
                RolloutPolicy.DEFAULT,
                PacingPolicy.OFF,
                GRACE_MILLIS,
                0,
                Map.of(),
                ColdBound.DEFAULT,
                WatchTiming.DEFAULT);
    }

    private List<String> entries(boolean overPaths) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            WorkerFake server = servers.get(i);
            String entry = server.entry("pool", SLOTS);
            entries.add(
                    overPaths
                            ? entry.replace(
                                    ":" + server.address().getPort() + "\"",
                                    ":" + paths.get(i).port() + "\"")
                            : entry);
        }
        return entries;
    }

    private static InetSocketAddress free(InetAddress address) {
        return FreePorts.choose(address);
    }

    /** Returns an address whose port and the two after it are free. */
    private static InetSocketAddress freeRange(String ip) throws IOException {
        return FreePorts.chooseRange(InetAddress.getByName(ip), 3);
    }

    /** Breaks or repairs the first host's paths to the first {@code count} servers. */
    void set(int count, ServerPath.Fault fault) throws IOException {
        for (ServerPath path : paths.subList(0, count)) {
            path.set(fault);
        }
    }

    /** Breaks all paths of the first host and sends it requests until it notices. */
    void loseServers(ServerPath.Fault fault) throws IOException {
        set(SERVERS, fault);
        Host cutOff = hosts.getFirst();
        Fleet.await(
                () -> {
                    var unused = cutOff.send(Fleet.request("/i/x", "probe", ""));
                    return cutOff.log().contains("event=servers_lost");
                });
    }

    void script(WorkerFake.Script script) {
        servers.forEach(server -> server.script(script));
    }

    /** Connects to a host's listener for forwarded requests. */
    Socket connectToRelay(int host) throws IOException {
        InetSocketAddress relay = hosts.get(host).options.relay().orElseThrow();
        return new Socket(relay.getAddress(), relay.getPort());
    }

    /** Returns how many requests with an id reached servers. */
    long received(String id) {
        return servers.stream()
                .flatMap(server -> List.copyOf(server.requests).stream())
                .filter(request -> request.id().equals(id))
                .count();
    }

    @Override
    public void close() throws IOException {
        for (Host host : hosts) {
            var unused = host.node.storeLoop().shutdownGracefully(0, 0, TimeUnit.SECONDS);
            host.store.close();
            host.log.close();
        }
        paths.addAll(relayPaths);
        for (ServerPath path : paths) {
            path.close();
        }
        for (WorkerFake server : servers) {
            server.close();
        }
    }
}

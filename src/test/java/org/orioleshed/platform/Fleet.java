package org.orioleshed.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.gateway.GatewayOptions;
import org.orioleshed.gateway.LogRing;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;

/** One gateway on loopback with a fake store and two fake servers. */
final class Fleet implements AutoCloseable {
    static final String CONFIG =
            """
            {"version":1,"routes":[
              {"name":"stream","host":"h","prefix":"/s/","kind":"stream","timeout-ms":%1$d,
               "target-latency-ms":600,"gap-aim-ms":300,"attempts":2,"resumable":true,
               "service":"pool"},
              {"name":"once","host":"h","prefix":"/o/","kind":"non_idempotent",
               "timeout-ms":%1$d,"target-latency-ms":600,"attempts":1,"service":"pool"},
              {"name":"safe","host":"h","prefix":"/i/","kind":"idempotent","timeout-ms":%1$d,
               "target-latency-ms":600,"attempts":2,"service":"pool"},
              {"name":"open","host":"h","prefix":"/p/","kind":"idempotent","timeout-ms":%1$d,
               "target-latency-ms":600,"attempts":2,"service":"pool","public":true}],
             "services":[{"name":"pool","max-conns":100,
                          "engine":{"kv-capacity":1000000,"stride":1}}],
             "limits":{"max-header-bytes":4096,"max-body-bytes":65536,
                       "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"ws","api-keys":["key"],"unit":"tokens","plain-tokens":10,
                         "rate-per-s":%2$d,"burst":%2$d}]}
            """;
    private static final int SLOTS = 8;
    private static final long GRACE_MILLIS = 2_000;
    private static final long IDLE_CONFIG_TIMEOUT_MILLIS = 5_000;
    private static final long WAIT_NANOS = 20_000_000_000L;

    final StoreFake store = new StoreFake();
    final WorkerFake first = new WorkerFake();
    final WorkerFake second = new WorkerFake();
    final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final Queue<Runnable> pauses = new ConcurrentLinkedQueue<>();
    private final LogRing log = new LogRing(logBytes);
    private final GatewayOptions options;
    private final PlatformNode node;

    Fleet(long timeoutMillis, long unitsPerSecond) throws IOException {
        this(timeoutMillis, unitsPerSecond, SLOTS, GRACE_MILLIS, false);
        awaitReady();
    }

    /**
     * Returns a fleet whose gateway is ready.
     *
     * @param slots the concurrent requests of the first server
     * @param graceMillis the time from the stop signal until the process would be killed, in
     *     milliseconds
     */
    static Fleet with(long timeoutMillis, int slots, long graceMillis) throws IOException {
        Fleet fleet = new Fleet(timeoutMillis, 100_000, slots, graceMillis, false);
        fleet.awaitReady();
        return fleet;
    }

    private void awaitReady() {
        await(() -> get(options.ready(), "/ready").startsWith("HTTP/1.1 200"));
    }

    /** Returns a fleet whose gateway has not read the servers yet and is not ready. */
    static Fleet withoutServers(long timeoutMillis) throws IOException {
        return new Fleet(timeoutMillis, 100_000, SLOTS, GRACE_MILLIS, true);
    }

    /**
     * Returns a fleet whose gateway is ready.
     *
     * @param idleMillis the time for which callers may leave connections idle, in milliseconds
     * @param graceMillis as in {@link #with}
     */
    static Fleet withIdleTimeout(long idleMillis, long graceMillis) throws IOException {
        Fleet fleet = new Fleet(idleConfig(1, idleMillis), SLOTS, graceMillis, false, Map.of());
        fleet.awaitReady();
        return fleet;
    }

    private static String idleConfig(int version, long idleMillis) {
        return CONFIG.formatted(IDLE_CONFIG_TIMEOUT_MILLIS, 100_000)
                .replace("\"version\":1", "\"version\":" + version)
                .replace("\"header-timeout-ms\":3000", "\"header-timeout-ms\":400")
                .replace("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":" + idleMillis);
    }

    /** Changes the time for which callers may leave connections idle; returns once in force. */
    void changeIdleTimeout(int version, long idleMillis) {
        change(version, idleConfig(version, idleMillis));
    }

    /** Changes the maximum size of a request's head; returns once in force. */
    void changeHeaderLimit(int version, int bytes) {
        change(
                version,
                CONFIG.formatted(IDLE_CONFIG_TIMEOUT_MILLIS, 100_000)
                        .replace("\"version\":1", "\"version\":" + version)
                        .replace("\"max-header-bytes\":4096", "\"max-header-bytes\":" + bytes));
    }

    private void change(int version, String config) {
        store.put("op/config", config);
        await(() -> log().contains("version=%d source=".formatted(version)));
    }

    /**
     * Returns a configuration with the routes of {@link #CONFIG} and other tenants.
     *
     * @param tenants the JSON value of the tenants; blank to leave them out
     */
    static String configWithTenants(int version, String tenants) {
        String config =
                CONFIG.formatted(IDLE_CONFIG_TIMEOUT_MILLIS, 100_000)
                        .replace("\"version\":1", "\"version\":" + version)
                        .replaceFirst("(?s),\\s*\"tenants\":.*", "");
        return config + (tenants.isBlank() ? "" : ",\"tenants\":" + tenants) + "}";
    }

    /** Writes a configuration; returns once it is in force or known to be unreadable. */
    void writeConfig(String config) {
        long written = linesAboutConfigs();
        store.put("op/config", config);
        await(() -> linesAboutConfigs() > written);
    }

    private long linesAboutConfigs() {
        return log().lines()
                .filter(
                        line ->
                                line.contains("event=config_in_force")
                                        || line.contains("event=config_unreadable"))
                .count();
    }

    /** Returns a fleet whose gateway may never be ready, with a configuration. */
    static Fleet withFirstConfig(String config) throws IOException {
        return new Fleet(config, SLOTS, GRACE_MILLIS, false, Map.of());
    }

    /** Returns a fleet whose gateway is ready, with a configuration. */
    static Fleet withConfig(String config) throws IOException {
        return withRegions(config, Map.of());
    }

    /** Returns a fleet whose gateway is ready, with a configuration and a map of regions. */
    static Fleet withRegions(String config, Map<FailureDomain, Region> regions) throws IOException {
        Fleet fleet = new Fleet(config, SLOTS, GRACE_MILLIS, false, regions);
        fleet.awaitReady();
        return fleet;
    }

    private Fleet(
            long timeoutMillis,
            long unitsPerSecond,
            int slots,
            long graceMillis,
            boolean hideServers)
            throws IOException {
        this(
                CONFIG.formatted(timeoutMillis, unitsPerSecond),
                slots,
                graceMillis,
                hideServers,
                Map.of());
    }

    private Fleet(
            String config,
            int slots,
            long graceMillis,
            boolean hideServers,
            Map<FailureDomain, Region> regions)
            throws IOException {
        store.hideServers(hideServers);
        store.put("op/config", config);
        store.put("servers/i-1", first.entry("pool", slots));
        options =
                new GatewayOptions(
                        new FailureDomain("z"),
                        freeAddress(),
                        freeAddress(),
                        freeAddress(),
                        freeAddress(),
                        Optional.empty(),
                        List.of(),
                        1,
                        1,
                        10_000,
                        50,
                        Quotas.Slack.NONE,
                        RolloutPolicy.DEFAULT,
                        PacingPolicy.OFF,
                        graceMillis,
                        0,
                        regions,
                        ColdBound.DEFAULT,
                        WatchTiming.DEFAULT);
        node = new PlatformNode(options, store.address(), log, 1);
        node.start();
    }

    /** Stops the gateway; returns when its process would end. */
    void stop() {
        node.gateway().stop();
    }

    /** Sets what the gateway may buffer for slow callers, in bytes. */
    void bufferBudget(long bytes) {
        node.gateway().bufferBudget(bytes);
    }

    /** Blocks the data thread for a time; returns once it is blocked. */
    void blockDataThread(long millis) throws InterruptedException {
        CountDownLatch blocked = addPause(millis);
        Thread.ofVirtual().start(() -> get(options.metrics(), "/metrics"));
        blocked.await();
    }

    /**
     * Blocks the data thread for a time as soon as it reads an open connection of {@link
     * #connectToMetrics}, among others that are ready at that moment; returns once it is blocked.
     */
    void blockDataThread(long millis, Socket metrics) throws IOException, InterruptedException {
        CountDownLatch blocked = addPause(millis);
        metrics.getOutputStream()
                .write(WorkerFake.bytes("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"));
        blocked.await();
    }

    private CountDownLatch addPause(long millis) {
        CountDownLatch blocked = new CountDownLatch(1);
        pauses.add(
                () -> {
                    blocked.countDown();
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
                });
        node.gateway().metrics().gauge("pause", () -> this::pause);
        return blocked;
    }

    /**
     * Sends a stream that outlasts the host, which otherwise stops as soon as it can. Keep the
     * connection: an unreachable socket is closed.
     */
    Socket keepBusy() throws IOException {
        int before = first.requests.size();
        first.script(WorkerFake.Script.streaming(1, 400, 10));
        Socket caller = connect();
        caller.getOutputStream().write(WorkerFake.bytes(request("/s/x", "long", "")));
        await(() -> first.requests.size() > before);
        first.script(WorkerFake.Script.answering(200, "ok"));
        return caller;
    }

    /** Connects to the listener for metrics; the connection has been accepted. */
    Socket connectToMetrics() throws IOException {
        Socket socket = new Socket(options.metrics().getAddress(), options.metrics().getPort());
        socket.getOutputStream()
                .write(WorkerFake.bytes("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"));
        if (socket.getInputStream().read() < 0) {
            throw new IOException("closed by the listener for metrics");
        }
        return socket;
    }

    /** Runs the next pause on the thread that reads the metrics. */
    private int pause() {
        Runnable next = pauses.poll();
        if (next != null) {
            next.run();
        }
        return 0;
    }

    /** Returns the number of requests that the gateway has read. */
    long requestsRead() {
        return node.gateway().metrics().counter("requests").getCount();
    }

    /** Returns the value of a gauge. */
    int metric(String name) {
        return (int) node.gateway().metrics().gauge(name, () -> () -> -1).getValue();
    }

    /** Returns the gateway's log. */
    String log() {
        return logBytes.toString(StandardCharsets.UTF_8);
    }

    /** Registers the second server and waits until the gateway has read its entry. */
    void addSecond() {
        store.put("servers/i-2", second.entry("pool", SLOTS));
        await(() -> logBytes.toString(StandardCharsets.UTF_8).contains("server=i-2"));
    }

    /** Registers the second server with a number of slots and waits until it is known. */
    void addSecond(int slots) {
        store.put("servers/i-2", second.entry("pool", slots));
        await(() -> logBytes.toString(StandardCharsets.UTF_8).contains("server=i-2"));
    }

    /** Registers the second server in another failure domain and waits until it is known. */
    void addSecond(String domain) {
        store.put("servers/i-2", second.entry("pool", SLOTS, domain));
        await(() -> logBytes.toString(StandardCharsets.UTF_8).contains("server=i-2"));
    }

    private static InetSocketAddress freeAddress() {
        return FreePorts.choose();
    }

    /** Connects to the callers' listener. */
    Socket connect() throws IOException {
        return new Socket(options.callers().getAddress(), options.callers().getPort());
    }

    /** Connects with a receive buffer of the given size. */
    Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(options.callers());
        return socket;
    }

    /** Sends bytes on a new connection and returns all bytes received until it closes. */
    String send(String bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(WorkerFake.bytes(bytes));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns a valid request with a key, token counts and a deadline. */
    static String request(String path, String id, String body) {
        return "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nApi-Key: key\r\n"
                        .formatted(path, id)
                + "X-Token-Counts: 100,10\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n"
                + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body);
    }

    static String get(InetSocketAddress address, String path) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write(WorkerFake.bytes("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
            byte[] bytes = new byte[200];
            int read = socket.getInputStream().read(bytes);
            return new String(bytes, 0, Math.max(0, read), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Waits until a condition holds; fails after {@link #WAIT_NANOS}. */
    static void await(BooleanSupplier condition) {
        await(condition, WAIT_NANOS);
    }

    /** Waits until a condition holds; fails after a time. */
    static void await(BooleanSupplier condition, long limitNanos) {
        long endNanos = System.nanoTime() + limitNanos;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError(
                        "condition not met within %d ms".formatted(limitNanos / 1_000_000));
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        // Otherwise the store client would go on calling whichever process gets the store's port
        // next.
        var unused = node.storeLoop().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        store.close();
        first.close();
        second.close();
        log.close();
    }
}

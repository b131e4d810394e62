package org.orioleshed.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.Target;
import org.orioleshed.host.HostEvent;
import org.orioleshed.http.HttpClients;
import org.orioleshed.model.ServerId;

/**
 * Polls the load reports and cache events of the engines that this host owns. Both are delayed;
 * placement uses them only to correct its own records.
 */
public final class ReportPoller implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 1_000;
    private static final int STATUS_OK = 200;
    private static final int MAX_HASHES_PER_LIST = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("engine-reports").daemon().factory());
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpClient client;
    private final Supplier<List<BackendServer>> servers;
    private final BackendListener listener;
    private final Map<ServerId, Long> nextEventByServer = new ConcurrentHashMap<>();

    /**
     * Creates a poller; {@link #start} starts it.
     *
     * @param connectTimeoutMillis how long a connection may take to open, in milliseconds
     * @param servers returns the servers to poll now
     * @param listener receives the reports
     */
    public ReportPoller(
            int connectTimeoutMillis,
            Supplier<List<BackendServer>> servers,
            BackendListener listener) {
        this.client = HttpClients.create(Duration.ofMillis(connectTimeoutMillis), threads);
        this.servers = servers;
        this.listener = listener;
    }

    /** Starts polling, once per second. */
    public void start() {
        var unused =
                timer.scheduleWithFixedDelay(
                        this::poll,
                        POLL_INTERVAL_MILLIS,
                        POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Polls each server once. */
    void poll() {
        for (BackendServer server : servers.get()) {
            if (server.target() instanceof Target.Model) {
                threads.execute(() -> read(server));
            }
        }
    }

    private void read(BackendServer server) {
        get(server.address().resolve("/v1/load"))
                .flatMap(report -> loadReport(server.id(), report))
                .ifPresent(listener::on);
        long after = nextEventByServer.getOrDefault(server.id(), 0L);
        Optional<JsonNode> events =
                get(server.address().resolve("/v1/cache/events?after=" + after));
        if (events.isEmpty() || !events.get().path("next").isIntegralNumber()) {
            return;
        }
        nextEventByServer.put(server.id(), events.get().path("next").longValue());
        HostEvent.CacheReported report = cacheReport(server.id(), events.get());
        if (report.gap() || !report.stored().isEmpty() || !report.evicted().isEmpty()) {
            listener.on(report);
        }
    }

    /** Returns the event for a load report, or empty if a field is missing or out of range. */
    static Optional<HostEvent> loadReport(ServerId server, JsonNode report) {
        int running = report.path("running").asInt(-1);
        int waiting = report.path("waiting").asInt(-1);
        long ageMillis = report.path("ageMillis").asLong(-1);
        if (running < 0 || waiting < 0 || ageMillis < 0) {
            return Optional.empty();
        }
        return Optional.of(new HostEvent.LoadReported(server, running, waiting, ageMillis));
    }

    /**
     * Returns the event for a batch of cache events. Invalid hashes are skipped and reported as a
     * gap.
     */
    static HostEvent.CacheReported cacheReport(ServerId server, JsonNode events) {
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        boolean storedComplete = parseHashes(events.path("stored"), stored);
        boolean evictedComplete = parseHashes(events.path("evicted"), evicted);
        boolean gap = events.path("gap").asBoolean(false) || !storedComplete || !evictedComplete;
        return new HostEvent.CacheReported(server, stored, evicted, gap);
    }

    private static boolean parseHashes(JsonNode list, List<Long> target) {
        boolean complete = list.isArray() && list.size() <= MAX_HASHES_PER_LIST;
        for (JsonNode hash : list) {
            if (!hash.isIntegralNumber() || target.size() >= MAX_HASHES_PER_LIST) {
                complete = false;
                continue;
            }
            target.add(hash.longValue());
        }
        return complete;
    }

    private Optional<JsonNode> get(URI address) {
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .timeout(Duration.ofMillis(POLL_INTERVAL_MILLIS))
                        .build();
        try {
            HttpResponse<byte[]> response =
                    client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return response.statusCode() == STATUS_OK
                    ? Optional.ofNullable(JSON.readTree(response.body()))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        threads.shutdownNow();
        client.shutdownNow();
    }
}

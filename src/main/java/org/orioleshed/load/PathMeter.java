package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the time from a caller's send to the first byte of the answer, through an entry host and
 * straight to the engine, in turn and in one run, and the processor time that the entry host takes.
 */
final class PathMeter {
    private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final int STAT_USER_TICKS = 11;
    private static final int STAT_SYSTEM_TICKS = 12;
    private static final int WARM_UP_SHARE = 2;

    private final Http http = new Http();
    private final AtomicInteger sent = new AtomicInteger();
    private final String hostUrl;
    private final String engineUrl;
    private final String bearerKey;
    private final String route;

    PathMeter(String hostUrl, String engineUrl, String bearerKey, String route) {
        this.hostUrl = hostUrl;
        this.engineUrl = engineUrl;
        this.bearerKey = bearerKey;
        this.route = route;
    }

    /**
     * Measures with {@code callers} callers that each send one request after another.
     *
     * @param hostPid the entry host's process id, for its processor time; zero for none
     */
    ObjectNode measure(int callers, int requests, long hostPid)
            throws IOException, InterruptedException {
        phase(hostUrl, callers, requests / WARM_UP_SHARE);
        phase(engineUrl, callers, requests / WARM_UP_SHARE);
        Histogram direct = phase(engineUrl, callers, requests);
        double secondsBefore = processorSeconds(hostPid);
        Histogram through = phase(hostUrl, callers, requests);
        double hostSeconds = processorSeconds(hostPid) - secondsBefore;
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("callers", callers).put("requests", requests);
        put(json, "direct", direct);
        put(json, "throughHost", through);
        json.put("addedMicrosP50", percentile(through, 50) - percentile(direct, 50));
        json.put("addedMicrosP99", percentile(through, 99) - percentile(direct, 99));
        if (hostPid > 0) {
            json.put("hostProcessorMicrosPerRequest", hostSeconds * 1e6 / requests);
            json.put("requestsPerSecondPerCore", requests / hostSeconds);
        }
        var system =
                (OperatingSystemMXBean)
                        java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        return json.put("machineLoad", system.getSystemLoadAverage());
    }

    private static void put(ObjectNode json, String name, Histogram histogram) {
        json.put(name + "MicrosP50", percentile(histogram, 50));
        json.put(name + "MicrosP99", percentile(histogram, 99));
    }

    private static long percentile(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile);
    }

    private Histogram phase(String url, int callers, int requests)
            throws IOException, InterruptedException {
        Histogram histogram = new ConcurrentHistogram(MAX_MICROS, 3);
        AtomicInteger left = new AtomicInteger(requests);
        List<Future<?>> running = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < callers; i++) {
                running.add(
                        threads.submit(
                                () -> {
                                    while (left.getAndDecrement() > 0) {
                                        histogram.recordValue(one(url));
                                    }
                                    return null;
                                }));
            }
            for (Future<?> future : running) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a request failed: " + e.getCause().getMessage(), e);
        }
        return histogram;
    }

    /** Sends one request and returns the time to the first byte of its body, in microseconds. */
    private long one(String url) throws IOException, InterruptedException {
        String id = "path" + ProcessHandle.current().pid() + "n" + sent.incrementAndGet();
        String body =
                String.format(
                        "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":"
                                + "\"tag=%s length=1\"}],\"max_tokens\":1,\"stream\":true}",
                        route, id);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url + "/v1/chat/completions"))
                        .header("Authorization", "Bearer " + bearerKey)
                        .header("Idempotency-Key", id)
                        .header("X-Run-Id", id)
                        .header("X-Tier", "urgent")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        long startNanos = System.nanoTime();
        HttpResponse<InputStream> response =
                http.client.send(request, BodyHandlers.ofInputStream());
        try (InputStream in = response.body()) {
            if (response.statusCode() != 200) {
                throw new IOException(url + " answered " + response.statusCode());
            }
            int first = in.read();
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            in.readAllBytes();
            if (first < 0) {
                throw new IOException(url + " sent an empty answer");
            }
            return micros;
        }
    }

    private static double processorSeconds(long pid) throws IOException {
        if (pid <= 0) {
            return 0;
        }
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks =
                Long.parseLong(fields[STAT_USER_TICKS]) + Long.parseLong(fields[STAT_SYSTEM_TICKS]);
        return ticks / CLOCK_TICKS_PER_SECOND;
    }
}

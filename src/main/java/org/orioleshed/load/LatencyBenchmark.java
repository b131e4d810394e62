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
 * Measures the time from sending a request to the first byte of the response, first directly at the
 * engine and then, in the same run, through an entry host, and the processor time used by the entry
 * host.
 */
final class LatencyBenchmark {
    private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final int STAT_USER_TICKS = 11;
    private static final int STAT_SYSTEM_TICKS = 12;
    private static final int WARM_UP_DIVISOR = 2;

    private final Http http = new Http();
    private final AtomicInteger sentCount = new AtomicInteger();
    private final String hostUrl;
    private final String engineUrl;
    private final String bearerKey;
    private final String route;

    LatencyBenchmark(String hostUrl, String engineUrl, String bearerKey, String route) {
        this.hostUrl = hostUrl;
        this.engineUrl = engineUrl;
        this.bearerKey = bearerKey;
        this.route = route;
    }

    /**
     * Runs the benchmark.
     *
     * @param callers the number of concurrent callers, each with one request at a time
     * @param requests the number of measured requests for each path
     * @param hostPid the process id of the entry host, to read its processor time; zero to skip
     */
    ObjectNode measure(int callers, int requests, long hostPid)
            throws IOException, InterruptedException {
        sendAll(hostUrl, callers, requests / WARM_UP_DIVISOR);
        sendAll(engineUrl, callers, requests / WARM_UP_DIVISOR);
        Histogram direct = sendAll(engineUrl, callers, requests);
        double secondsBefore = processorSeconds(hostPid);
        Histogram throughHost = sendAll(hostUrl, callers, requests);
        double hostProcessorSeconds = processorSeconds(hostPid) - secondsBefore;
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("callers", callers).put("requests", requests);
        put(json, "direct", direct);
        put(json, "throughHost", throughHost);
        json.put("addedMicrosP50", percentile(throughHost, 50) - percentile(direct, 50));
        json.put("addedMicrosP99", percentile(throughHost, 99) - percentile(direct, 99));
        if (hostPid > 0) {
            json.put("hostProcessorMicrosPerRequest", hostProcessorSeconds * 1e6 / requests);
            json.put("requestsPerSecondPerCore", requests / hostProcessorSeconds);
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

    private Histogram sendAll(String url, int callers, int requests)
            throws IOException, InterruptedException {
        Histogram histogram = new ConcurrentHistogram(MAX_MICROS, 3);
        AtomicInteger remaining = new AtomicInteger(requests);
        List<Future<?>> running = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < callers; i++) {
                running.add(
                        threads.submit(
                                () -> {
                                    while (remaining.getAndDecrement() > 0) {
                                        histogram.recordValue(firstByteMicros(url));
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

    /** Sends one request and returns the time to the first byte of the response body. */
    private long firstByteMicros(String url) throws IOException, InterruptedException {
        String id = "path" + ProcessHandle.current().pid() + "n" + sentCount.incrementAndGet();
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
                throw new IOException(url + " returned status " + response.statusCode());
            }
            int first = in.read();
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            in.readAllBytes();
            if (first < 0) {
                throw new IOException(url + " returned an empty body");
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

package org.orioleshed.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A stand-in plain service on a loopback port that counts the runs of each request. */
final class ServiceServer extends StandinServer {
    /**
     * The faults of the service.
     *
     * @param slowMillis the delay added to each call, in milliseconds
     * @param silentProbability the probability that a call runs and its response is delayed by
     *     {@link #SILENCE_SECONDS}
     * @param failProbability the probability that a call runs and returns an error
     */
    record Faults(int slowMillis, double silentProbability, double failProbability) {
        static final Faults NONE = new Faults(0, 0, 0);
    }

    private static final long SILENCE_SECONDS = 600;

    private final ServiceSpec spec;
    private final SplittableRandom random;
    private final Map<String, Integer> runCountByTag = new HashMap<>();
    private final List<RunRecord> runs = new ArrayList<>();
    private volatile Faults faults = Faults.NONE;

    ServiceServer(ServiceSpec spec) {
        super(spec.port());
        this.spec = spec;
        this.random = new SplittableRandom(spec.id().hashCode());
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/standin/faults" -> {
                faults = JsonHttpServer.read(exchange, Faults.class);
                JsonHttpServer.reply(exchange, 200, faults);
            }
            case "/standin/runs" -> JsonHttpServer.reply(exchange, 200, runs());
            case "/standin/counts" ->
                    JsonHttpServer.reply(exchange, 200, Map.of("runs", runs().size()));
            default -> call(exchange, path);
        }
    }

    private synchronized List<RunRecord> runs() {
        return List.copyOf(runs);
    }

    private void call(HttpExchange exchange, String path) throws IOException, InterruptedException {
        JsonNode body = JsonHttpServer.read(exchange);
        String key = exchange.getRequestHeaders().getFirst("X-Request-Key");
        String run = exchange.getRequestHeaders().getFirst("X-Run-Id");
        if (!path.startsWith("/v1/calls/") || key == null || run == null) {
            JsonHttpServer.error(
                    exchange,
                    400,
                    "bad_request",
                    "required: a path under /v1/calls/, headers X-Request-Key and X-Run-Id");
            return;
        }
        int runCount = recordRun(body.path("tag").asText(key), run);
        Faults current = faults;
        TimeUnit.MILLISECONDS.sleep(spec.callMillis() + current.slowMillis());
        if (nextRandom() < current.silentProbability()) {
            TimeUnit.SECONDS.sleep(SILENCE_SECONDS);
        }
        if (nextRandom() < current.failProbability()) {
            JsonHttpServer.error(exchange, 500, "service_failed", "injected fault of the service");
            return;
        }
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("key", key);
        response.put("tag", body.path("tag").asText(""));
        response.put("runs", runCount);
        JsonHttpServer.reply(exchange, 200, response);
    }

    private synchronized double nextRandom() {
        return random.nextDouble();
    }

    private synchronized int recordRun(String tag, String run) {
        long nowMillis = System.currentTimeMillis();
        runs.add(new RunRecord(spec.id(), "", run, tag, nowMillis, nowMillis, 0, true));
        return runCountByTag.merge(tag, 1, Integer::sum);
    }
}

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

/** A stand-in plain service on a loopback port, which counts its runs for each request. */
final class ServiceServer extends StandinServer {
    /**
     * What is wrong with the service.
     *
     * @param slowMillis the time added to each call, in milliseconds
     * @param silentProbability the probability that a call runs and is never answered
     * @param failProbability the probability that a call is answered with an error
     */
    record Faults(int slowMillis, double silentProbability, double failProbability) {
        static final Faults NONE = new Faults(0, 0, 0);
    }

    private static final long SILENT_SECONDS = 600;

    private final ServiceSpec spec;
    private final SplittableRandom random;
    private final Map<String, Integer> runsByKey = new HashMap<>();
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
                faults = JsonHandler.read(exchange, Faults.class);
                JsonHandler.reply(exchange, 200, faults);
            }
            case "/standin/runs" -> JsonHandler.reply(exchange, 200, runs());
            case "/standin/counts" ->
                    JsonHandler.reply(exchange, 200, Map.of("runs", runs().size()));
            default -> call(exchange, path);
        }
    }

    private synchronized List<RunRecord> runs() {
        return List.copyOf(runs);
    }

    private void call(HttpExchange exchange, String path) throws IOException, InterruptedException {
        JsonNode body = JsonHandler.read(exchange);
        String key = exchange.getRequestHeaders().getFirst("X-Request-Key");
        String run = exchange.getRequestHeaders().getFirst("X-Run-Id");
        if (!path.startsWith("/v1/calls/") || key == null || run == null) {
            JsonHandler.error(exchange, 400, "bad_request", "path, X-Request-Key or X-Run-Id");
            return;
        }
        int count = count(body.path("tag").asText(key), run);
        Faults now = faults;
        TimeUnit.MILLISECONDS.sleep(spec.callMillis() + now.slowMillis());
        if (draw() < now.silentProbability()) {
            TimeUnit.SECONDS.sleep(SILENT_SECONDS);
        }
        if (draw() < now.failProbability()) {
            JsonHandler.error(exchange, 500, "service_failed", "the service is faulty");
            return;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("key", key);
        answer.put("tag", body.path("tag").asText(""));
        answer.put("runs", count);
        JsonHandler.reply(exchange, 200, answer);
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private synchronized int count(String tag, String run) {
        long now = System.currentTimeMillis();
        runs.add(new RunRecord(spec.id(), "", run, tag, now, now, 0, true));
        return runsByKey.merge(tag, 1, Integer::sum);
    }
}

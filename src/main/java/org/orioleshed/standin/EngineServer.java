package org.orioleshed.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.standin.EngineRun.StreamEvent;

/** A stand-in model engine on a loopback port. */
final class EngineServer extends StandinServer {
    private static final long KEEP_ALIVE_MILLIS = 800;
    private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 100;
    private static final long DEFAULT_LOAD_LAG_MILLIS = 500;
    private static final int MAX_LOAD_SAMPLES = 300;
    private static final long CRASH_DOWN_MILLIS = 2_000;
    private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** A sample of the load. */
    private record Load(long atMillis, int running, int waiting) {}

    private final EngineSpec spec;
    private final ScheduledExecutorService scheduler;
    private final EngineModel model;
    private final Deque<Load> loads = new ArrayDeque<>();
    private final List<String> crashTags = new ArrayList<>();
    private String modelName;
    private String role = "both";
    private long fence;
    private boolean stepping;
    private long stepDueNanos;

    EngineServer(EngineSpec spec, ScheduledExecutorService scheduler) {
        super(spec.port());
        this.spec = spec;
        this.scheduler = scheduler;
        this.model = new EngineModel(spec, new SplittableRandom(spec.id().hashCode()));
        this.modelName = spec.model();
    }

    @Override
    void open() {
        super.open();
        var unused =
                scheduler.scheduleAtFixedRate(
                        this::sampleLoad, 0, LOAD_SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/v1/chat/completions" -> generate(exchange);
            case "/v1/load" -> JsonHttpServer.reply(exchange, 200, load());
            case "/v1/cache/events" -> cacheEvents(exchange);
            case "/v1/orders" -> order(exchange);
            case "/v1/state" -> JsonHttpServer.reply(exchange, 200, state());
            case "/standin/faults" -> setFaults(exchange);
            case "/standin/counts" -> JsonHttpServer.reply(exchange, 200, counts());
            case "/standin/runs" -> JsonHttpServer.reply(exchange, 200, runs());
            default -> handleRun(exchange, path);
        }
    }

    private void handleRun(HttpExchange exchange, String path) throws IOException {
        String[] parts = path.split("/", -1);
        if (parts.length == 5 && parts[2].equals("runs") && parts[4].equals("cancel")) {
            cancel(exchange, parts[3]);
            return;
        }
        JsonHttpServer.error(exchange, 404, "not_found", path);
    }

    private void generate(HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body = JsonHttpServer.read(exchange);
        String runId = exchange.getRequestHeaders().getFirst("X-Run-Id");
        if (runId == null || !body.path("messages").isArray()) {
            JsonHttpServer.error(
                    exchange,
                    400,
                    "bad_request",
                    "header X-Run-Id and array messages are required");
            return;
        }
        String resume = exchange.getRequestHeaders().getFirst("X-Resume-From");
        int resumeFrom = resume == null ? 0 : Integer.parseInt(resume);
        int maxTokens = body.path("max_tokens").asInt(Integer.MAX_VALUE);
        EngineRun run = new EngineRun(runId, prompt(body), maxTokens, resumeFrom);
        EngineModel.Admission admission;
        synchronized (this) {
            admission = model.submit(run);
        }
        switch (admission) {
            case TAKEN -> {
                startStepping();
                stream(exchange, run);
            }
            case DUPLICATE -> JsonHttpServer.error(exchange, 409, "duplicate_run", runId);
            case FAILED ->
                    JsonHttpServer.error(
                            exchange, 500, "engine_failed", "injected fault of the version");
            case CRASHED -> crash(run);
        }
    }

    private static String prompt(JsonNode body) {
        List<String> contents = new ArrayList<>();
        body.path("messages").forEach(m -> contents.add(m.path("content").asText()));
        return String.join("\n", contents);
    }

    private void crash(EngineRun run) {
        synchronized (this) {
            crashTags.add(run.tag);
            model.crash(System.currentTimeMillis());
        }
        crash(CRASH_DOWN_MILLIS);
    }

    private void stream(HttpExchange exchange, EngineRun run)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try {
            OutputStream out = exchange.getResponseBody();
            out.flush();
            write(out, run);
        } catch (IOException e) {
            cancelRun(run.id);
            throw e;
        }
    }

    private void write(OutputStream out, EngineRun run) throws IOException, InterruptedException {
        while (true) {
            StreamEvent event = run.streamEvents.poll(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
            switch (event) {
                case null -> send(out, run, ": alive\n\n");
                case StreamEvent.Token token -> send(out, run, chunk(run, token.offset()));
                case StreamEvent.Done done -> {
                    send(out, run, end(run));
                    out.close();
                    return;
                }
                case StreamEvent.Aborted aborted ->
                        throw new IOException("run " + run.id + " was aborted");
            }
        }
    }

    private static void send(OutputStream out, EngineRun run, String text) throws IOException {
        if (run.stalled && run.nextOffset > run.resumeFrom + 1) {
            return;
        }
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String chunk(EngineRun run, int offset) {
        return String.format(
                "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
                        + "\"finish_reason\":null}],\"offset\":%d,\"count\":1}\n\n",
                run.id, StandinText.token(run.seed, offset), offset);
    }

    private static String end(EngineRun run) {
        return String.format(
                "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
                        + "\"finish_reason\":\"stop\"}],\"offset\":%d,\"count\":0}\n\n"
                        + "data: [DONE]\n\n",
                run.id, run.answerTokens);
    }

    private synchronized EngineRun cancelRun(String runId) {
        return model.cancel(runId, System.currentTimeMillis());
    }

    private void cancel(HttpExchange exchange, String runId) throws IOException {
        String state;
        int prefilledTokens;
        synchronized (this) {
            EngineRun run = cancelRun(runId);
            boolean finished = run != null && run.state == EngineRun.State.FINISHED;
            state = run == null ? "unknown" : finished ? "finished" : "cancelled";
            prefilledTokens = run == null ? 0 : run.prefilledTokens;
        }
        JsonHttpServer.reply(
                exchange, 200, Map.of("state", state, "prefillTokens", prefilledTokens));
    }

    private synchronized void startStepping() {
        if (!stepping) {
            stepping = true;
            stepDueNanos = System.nanoTime();
            scheduler.execute(this::step);
        }
    }

    private void step() {
        long stepNanos;
        synchronized (this) {
            model.step(System.currentTimeMillis());
            stepNanos = model.stepNanos();
            stepping = stepNanos >= 0;
        }
        if (stepNanos < 0) {
            return;
        }
        // The next step is due relative to the due time of this one, so that a late step does not
        // slow the engine down. The engine catches up by at most MAX_CATCH_UP_NANOS.
        long nowNanos = System.nanoTime();
        stepDueNanos = Math.max(stepDueNanos, nowNanos - MAX_CATCH_UP_NANOS) + stepNanos;
        var unused =
                scheduler.schedule(
                        this::step, Math.max(0, stepDueNanos - nowNanos), TimeUnit.NANOSECONDS);
    }

    private synchronized void sampleLoad() {
        loads.addLast(new Load(System.currentTimeMillis(), model.running(), model.waiting()));
        if (loads.size() > MAX_LOAD_SAMPLES) {
            loads.removeFirst();
        }
    }

    private synchronized Map<String, Object> load() {
        long nowMillis = System.currentTimeMillis();
        long lagMillis = Math.max(DEFAULT_LOAD_LAG_MILLIS, model.faults().loadLagMillis());
        Load reported = new Load(nowMillis, 0, 0);
        for (Load load : loads) {
            if (load.atMillis() <= nowMillis - lagMillis) {
                reported = load;
            }
        }
        return Map.of(
                "running", reported.running(),
                "waiting", reported.waiting(),
                "ageMillis", nowMillis - reported.atMillis());
    }

    private void cacheEvents(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        boolean hasAfter = query != null && query.startsWith("after=");
        long after = hasAfter ? Long.parseLong(query.substring("after=".length())) : 0;
        CacheEvents.Page page;
        synchronized (this) {
            page = model.cacheEvents().after(after);
        }
        JsonHttpServer.reply(exchange, 200, page);
    }

    private void order(HttpExchange exchange) throws IOException {
        JsonNode body = JsonHttpServer.read(exchange);
        long orderFence = body.path("fence").asLong();
        boolean stale;
        synchronized (this) {
            stale = spec.checksFencing() && orderFence < fence;
            if (!stale) {
                fence = Math.max(fence, orderFence);
                applyOrder(body);
            }
        }
        if (stale) {
            JsonHttpServer.error(
                    exchange,
                    409,
                    "old_fence",
                    "fencing number is lower than one already received");
            return;
        }
        JsonHttpServer.reply(exchange, 200, state());
    }

    private void applyOrder(JsonNode body) {
        switch (body.path("order").asText()) {
            case "load" -> {
                modelName = body.path("model").asText(modelName);
                model.setVersion(body.path("version").asText(model.version()));
            }
            case "unload" -> model.setVersion("");
            case "role" -> role = body.path("role").asText(role);
            default -> throw new IllegalArgumentException("order must be load, unload or role");
        }
    }

    private synchronized Map<String, Object> state() {
        return Map.of("model", modelName, "version", model.version(), "role", role, "fence", fence);
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        EngineFaults faults = JsonHttpServer.read(exchange, EngineFaults.class);
        synchronized (this) {
            model.setFaults(faults);
        }
        JsonHttpServer.reply(exchange, 200, faults);
    }

    private synchronized Map<String, Object> counts() {
        return Map.of(
                "running", model.running(),
                "waiting", model.waiting(),
                "runs", model.runs().size(),
                "crashTags", List.copyOf(crashTags));
    }

    private synchronized List<RunRecord> runs() {
        return model.runs().stream().map(this::record).toList();
    }

    private RunRecord record(EngineRun run) {
        return new RunRecord(
                spec.id(),
                model.version(),
                run.id,
                run.tag,
                run.startedMillis,
                run.endedMillis,
                run.prefilledTokens,
                run.state == EngineRun.State.FINISHED);
    }
}

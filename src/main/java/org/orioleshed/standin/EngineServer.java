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
import org.orioleshed.standin.EngineRun.Piece;

/** A stand-in model engine on a loopback port. */
final class EngineServer extends StandinServer {
    private static final long ALIVE_MILLIS = 800;
    private static final long LOAD_SAMPLE_MILLIS = 100;
    private static final long LOAD_LAG_MILLIS = 500;
    private static final int MAX_LOAD_SAMPLES = 300;
    private static final long CRASH_DOWN_MILLIS = 2_000;
    private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The load at one moment. */
    private record Load(long atMillis, int running, int waiting) {}

    private final EngineSpec spec;
    private final ScheduledExecutorService clock;
    private final EngineModel model;
    private final Deque<Load> loads = new ArrayDeque<>();
    private final List<String> crashTags = new ArrayList<>();
    private String modelName;
    private String role = "both";
    private long fence;
    private boolean stepping;
    private long stepDueNanos;

    EngineServer(EngineSpec spec, ScheduledExecutorService clock) {
        super(spec.port());
        this.spec = spec;
        this.clock = clock;
        this.model = new EngineModel(spec, new SplittableRandom(spec.id().hashCode()));
        this.modelName = spec.model();
    }

    @Override
    void open() {
        super.open();
        var unused =
                clock.scheduleAtFixedRate(
                        this::sampleLoad, 0, LOAD_SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/v1/chat/completions" -> generate(exchange);
            case "/v1/load" -> JsonHandler.reply(exchange, 200, load());
            case "/v1/cache/events" -> cacheEvents(exchange);
            case "/v1/orders" -> order(exchange);
            case "/v1/state" -> JsonHandler.reply(exchange, 200, state());
            case "/standin/faults" -> setFaults(exchange);
            case "/standin/counts" -> JsonHandler.reply(exchange, 200, counts());
            case "/standin/runs" -> JsonHandler.reply(exchange, 200, runs());
            default -> handleRun(exchange, path);
        }
    }

    private void handleRun(HttpExchange exchange, String path) throws IOException {
        String[] parts = path.split("/", -1);
        if (parts.length == 5 && parts[2].equals("runs") && parts[4].equals("cancel")) {
            cancel(exchange, parts[3]);
            return;
        }
        JsonHandler.error(exchange, 404, "not_found", path);
    }

    private void generate(HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body = JsonHandler.read(exchange);
        String runId = exchange.getRequestHeaders().getFirst("X-Run-Id");
        if (runId == null || !body.path("messages").isArray()) {
            JsonHandler.error(exchange, 400, "bad_request", "X-Run-Id and messages are needed");
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
                wake();
                stream(exchange, run);
            }
            case DUPLICATE -> JsonHandler.error(exchange, 409, "duplicate_run", runId);
            case FAILED ->
                    JsonHandler.error(exchange, 500, "engine_failed", "the version is faulty");
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
            Piece piece = run.pieces.poll(ALIVE_MILLIS, TimeUnit.MILLISECONDS);
            switch (piece) {
                case null -> send(out, run, ": alive\n\n");
                case Piece.Token token -> send(out, run, chunk(run, token.offset()));
                case Piece.Done done -> {
                    send(out, run, end(run));
                    out.close();
                    return;
                }
                case Piece.Broken broken -> throw new IOException("run " + run.id + " broke");
            }
        }
    }

    private static void send(OutputStream out, EngineRun run, String text) throws IOException {
        if (run.silent && run.nextOffset > run.resumeFrom + 1) {
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
        int prefilled;
        synchronized (this) {
            EngineRun run = cancelRun(runId);
            boolean finished = run != null && run.state == EngineRun.State.FINISHED;
            state = run == null ? "unknown" : finished ? "finished" : "cancelled";
            prefilled = run == null ? 0 : run.prefillDone;
        }
        JsonHandler.reply(exchange, 200, Map.of("state", state, "prefillTokens", prefilled));
    }

    private synchronized void wake() {
        if (!stepping) {
            stepping = true;
            stepDueNanos = System.nanoTime();
            clock.execute(this::step);
        }
    }

    private void step() {
        long nanos;
        synchronized (this) {
            model.step(System.currentTimeMillis());
            nanos = model.stepNanos();
            stepping = nanos >= 0;
        }
        if (nanos < 0) {
            return;
        }
        // A late step must not slow the engine down: the next is due as if this one had been on
        // time, unless it is far behind.
        long now = System.nanoTime();
        stepDueNanos = Math.max(stepDueNanos, now - MAX_CATCH_UP_NANOS) + nanos;
        var unused =
                clock.schedule(this::step, Math.max(0, stepDueNanos - now), TimeUnit.NANOSECONDS);
    }

    private synchronized void sampleLoad() {
        loads.addLast(new Load(System.currentTimeMillis(), model.running(), model.waiting()));
        if (loads.size() > MAX_LOAD_SAMPLES) {
            loads.removeFirst();
        }
    }

    private synchronized Map<String, Object> load() {
        long now = System.currentTimeMillis();
        long lagMillis = Math.max(LOAD_LAG_MILLIS, model.faults().loadLagMillis());
        Load shown = new Load(now, 0, 0);
        for (Load load : loads) {
            if (load.atMillis() <= now - lagMillis) {
                shown = load;
            }
        }
        return Map.of(
                "running", shown.running(),
                "waiting", shown.waiting(),
                "ageMillis", now - shown.atMillis());
    }

    private void cacheEvents(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        boolean given = query != null && query.startsWith("after=");
        long after = given ? Long.parseLong(query.substring("after=".length())) : 0;
        CacheEvents.Page page;
        synchronized (this) {
            page = model.cacheEvents().after(after);
        }
        JsonHandler.reply(exchange, 200, page);
    }

    private void order(HttpExchange exchange) throws IOException {
        JsonNode body = JsonHandler.read(exchange);
        long number = body.path("fence").asLong();
        boolean old;
        synchronized (this) {
            old = spec.checksFencing() && number < fence;
            if (!old) {
                fence = Math.max(fence, number);
                obey(body);
            }
        }
        if (old) {
            JsonHandler.error(exchange, 409, "old_fence", "a newer fencing number is known");
            return;
        }
        JsonHandler.reply(exchange, 200, state());
    }

    private void obey(JsonNode body) {
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
        EngineFaults faults = JsonHandler.read(exchange, EngineFaults.class);
        synchronized (this) {
            model.setFaults(faults);
        }
        JsonHandler.reply(exchange, 200, faults);
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
                run.prefillDone,
                run.state == EngineRun.State.FINISHED);
    }
}

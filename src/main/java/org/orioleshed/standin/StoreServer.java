package org.orioleshed.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.orioleshed.standin.StoreModel.Change;
import org.orioleshed.standin.StoreModel.Item;

/**
 * The stand-in for the platform's key-value service: a part of etcd's v3 JSON gateway on a loopback
 * port. Counts its calls, a waiting watch as one, and refuses calls above its rates.
 */
final class StoreServer extends StandinServer {
    /**
     * What is wrong with the store.
     *
     * @param down whether connections are closed without an answer and without effect
     * @param slowMillis the time added to each call, in milliseconds
     * @param loseAnswers the probability that a write takes effect and its answer is lost
     * @param silentWatches whether watches stay open and say nothing
     */
    record Faults(boolean down, int slowMillis, double loseAnswers, boolean silentWatches) {
        static final Faults NONE = new Faults(false, 0, 0, false);
    }

    private static final long WATCH_POLL_MILLIS = 5;
    private static final int MAX_VALUE_BASE64 = 1_400_000;
    private static final String NO_END = "\uffff";

    private final CallRate writes;
    private final CallRate reads;
    private final StoreModel model = new StoreModel();
    private final SplittableRandom random = new SplittableRandom(1);
    private volatile Faults faults = Faults.NONE;
    private long readCalls;
    private long writeCalls;
    private long watchCalls;
    private long refusedCalls;

    StoreServer(StoreSpec spec) {
        super(spec.port());
        long now = System.currentTimeMillis();
        this.writes = new CallRate(spec.writesPerSecond(), now);
        this.reads = new CallRate(spec.readsPerSecond(), now);
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/standin/")) {
            control(exchange, path);
            return;
        }
        Faults now = faults;
        TimeUnit.MILLISECONDS.sleep(now.slowMillis());
        if (now.down()) {
            return;
        }
        JsonNode body = JsonHandler.read(exchange);
        if (path.equals("/v3/watch")) {
            watch(exchange, body.path("create_request"));
            return;
        }
        boolean write = !path.equals("/v3/kv/range");
        if (!take(write)) {
            ObjectNode refusal = JsonHandler.JSON.createObjectNode();
            refusal.put("code", 8).put("message", "etcdserver: too many requests");
            JsonHandler.reply(exchange, 429, refusal);
            return;
        }
        ObjectNode answer = answer(path, body);
        if (answer == null) {
            JsonHandler.error(exchange, 404, "not_found", path);
        } else if (!write || !lost(now)) {
            JsonHandler.reply(exchange, 200, answer);
        }
    }

    private void control(HttpExchange exchange, String path) throws IOException {
        if (path.equals("/standin/faults")) {
            faults = JsonHandler.read(exchange, Faults.class);
        }
        JsonHandler.reply(exchange, 200, counts());
    }

    private synchronized Map<String, Object> counts() {
        return Map.of(
                "calls", readCalls + writeCalls + watchCalls,
                "reads", readCalls,
                "writes", writeCalls,
                "watches", watchCalls,
                "refused", refusedCalls,
                "faults", faults);
    }

    private synchronized boolean take(boolean write) {
        long now = System.currentTimeMillis();
        model.expire(now);
        if (write) {
            writeCalls++;
        } else {
            readCalls++;
        }
        boolean taken = write ? writes.take(now) : reads.take(now);
        refusedCalls += taken ? 0 : 1;
        return taken;
    }

    private synchronized boolean lost(Faults now) {
        return random.nextDouble() < now.loseAnswers();
    }

    private synchronized ObjectNode answer(String path, JsonNode body) {
        ObjectNode answer =
                switch (path) {
                    case "/v3/kv/range" -> range(body);
                    case "/v3/kv/put" -> write(() -> put(body));
                    case "/v3/kv/deleterange" -> write(() -> delete(body));
                    case "/v3/kv/txn" -> transact(body);
                    case "/v3/lease/grant" -> grant(body);
                    case "/v3/lease/keepalive" -> keepAlive(body);
                    case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> revoke(body);
                    default -> null;
                };
        return answer;
    }

    private ObjectNode write(java.util.function.Supplier<ObjectNode> change) {
        model.beginWrite();
        return change.get();
    }

    private ObjectNode range(JsonNode body) {
        String key = key(body);
        String end = end(body);
        List<Item> items = end.isEmpty() ? model.get(key).stream().toList() : model.range(key, end);
        ObjectNode answer = withHeader();
        ArrayNode kvs = answer.putArray("kvs");
        items.forEach(item -> kvs.add(json(item)));
        return answer.put("count", String.valueOf(items.size()));
    }

    private ObjectNode put(JsonNode body) {
        String value = body.path("value").asText();
        if (value.length() > MAX_VALUE_BASE64) {
            throw new IllegalArgumentException("etcdserver: request is too large");
        }
        long lease = field(body, "lease", "lease").asLong();
        if (lease != 0 && !model.hasLease(lease)) {
            throw new IllegalArgumentException("etcdserver: requested lease not found");
        }
        model.put(key(body), value, lease);
        return withHeader();
    }

    private ObjectNode delete(JsonNode body) {
        int deleted = model.delete(key(body), end(body));
        return withHeader().put("deleted", String.valueOf(deleted));
    }

    private ObjectNode transact(JsonNode body) {
        boolean holds = true;
        for (JsonNode compare : body.path("compare")) {
            holds &= holds(compare);
        }
        JsonNode operations = body.path(holds ? "success" : "failure");
        boolean writing = false;
        for (JsonNode operation : operations) {
            writing |= !operation.has("requestRange") && !operation.has("request_range");
        }
        if (writing) {
            model.beginWrite();
        }
        ArrayNode responses = JsonHandler.JSON.createArrayNode();
        operations.forEach(operation -> responses.add(operate(operation)));
        ObjectNode answer = withHeader().put("succeeded", holds);
        answer.set("responses", responses);
        return answer;
    }

    private boolean holds(JsonNode compare) {
        Item item = model.get(key(compare)).orElse(null);
        long actual =
                switch (compare.path("target").asText("VERSION")) {
                    case "MOD" -> item == null ? 0 : item.modRevision();
                    case "CREATE" -> item == null ? 0 : item.createRevision();
                    case "VERSION" -> item == null ? 0 : item.version();
                    default -> throw new IllegalArgumentException("target is not supported");
                };
        String name = compare.path("target").asText("VERSION").toLowerCase(java.util.Locale.ROOT);
        String snake = name.equals("version") ? name : name + "_revision";
        String camel = name.equals("version") ? name : name + "Revision";
        long wanted = field(compare, snake, camel).asLong();
        return switch (compare.path("result").asText("EQUAL")) {
            case "EQUAL" -> actual == wanted;
            case "GREATER" -> actual > wanted;
            case "LESS" -> actual < wanted;
            case "NOT_EQUAL" -> actual != wanted;
            default -> throw new IllegalArgumentException("result is not supported");
        };
    }

    private ObjectNode operate(JsonNode operation) {
        JsonNode put = field(operation, "request_put", "requestPut");
        JsonNode delete = field(operation, "request_delete_range", "requestDeleteRange");
        ObjectNode response = JsonHandler.JSON.createObjectNode();
        if (put.isObject()) {
            response.set("response_put", put(put));
        } else if (delete.isObject()) {
            response.set("response_delete_range", delete(delete));
        } else {
            JsonNode range = field(operation, "request_range", "requestRange");
            response.set("response_range", range(range));
        }
        return response;
    }

    private ObjectNode grant(JsonNode body) {
        long ttlSeconds = Math.max(1, body.path("TTL").asLong());
        long id = model.grant(TimeUnit.SECONDS.toMillis(ttlSeconds), System.currentTimeMillis());
        return withHeader().put("ID", String.valueOf(id)).put("TTL", String.valueOf(ttlSeconds));
    }

    private ObjectNode keepAlive(JsonNode body) {
        long id = body.path("ID").asLong();
        long ttlMillis = model.keepAlive(id, System.currentTimeMillis());
        ObjectNode result = withHeader().put("ID", String.valueOf(id));
        if (ttlMillis > 0) {
            result.put("TTL", String.valueOf(TimeUnit.MILLISECONDS.toSeconds(ttlMillis)));
        }
        ObjectNode answer = JsonHandler.JSON.createObjectNode();
        answer.set("result", result);
        return answer;
    }

    private ObjectNode revoke(JsonNode body) {
        model.revoke(body.path("ID").asLong());
        return withHeader();
    }

    private void watch(HttpExchange exchange, JsonNode request)
            throws IOException, InterruptedException {
        String key = key(request);
        String end = end(request).isEmpty() ? key + '\0' : end(request);
        long next = field(request, "start_revision", "startRevision").asLong();
        ObjectNode first = JsonHandler.JSON.createObjectNode();
        synchronized (this) {
            watchCalls++;
            next = next > 0 ? next : model.revision() + 1;
            first.set("result", withHeader().put("watch_id", "0").put("created", true));
            if (next < model.oldestWatchable()) {
                ((ObjectNode) first.get("result"))
                        .put("canceled", true)
                        .put("compact_revision", String.valueOf(model.oldestWatchable()));
            }
        }
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        writeLine(out, first);
        while (!faults.down()) {
            ObjectNode line = null;
            synchronized (this) {
                List<Change> changes = model.changes(key, end, next);
                if (!changes.isEmpty() && !faults.silentWatches()) {
                    next = changes.getLast().revision() + 1;
                    line = line(changes);
                }
            }
            if (line == null) {
                // Waiting on the monitor would hold a carrier thread for each watch.
                Thread.sleep(WATCH_POLL_MILLIS);
            } else {
                writeLine(out, line);
            }
        }
    }

    private ObjectNode line(List<Change> changes) {
        ObjectNode result = withHeader().put("watch_id", "0");
        ArrayNode events = result.putArray("events");
        for (Change change : changes) {
            ObjectNode event = events.addObject();
            if (change.item().isEmpty()) {
                event.put("type", "DELETE");
            }
            ObjectNode kv = JsonHandler.JSON.createObjectNode();
            kv.put("key", encode(change.key()));
            kv.put("mod_revision", String.valueOf(change.revision()));
            event.set("kv", change.item().map(StoreServer::json).orElse(kv));
        }
        ObjectNode line = JsonHandler.JSON.createObjectNode();
        line.set("result", result);
        return line;
    }

    private static void writeLine(OutputStream out, ObjectNode line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private ObjectNode withHeader() {
        ObjectNode answer = JsonHandler.JSON.createObjectNode();
        answer.putObject("header").put("revision", String.valueOf(model.revision()));
        return answer;
    }

    private static ObjectNode json(Item item) {
        return JsonHandler.JSON
                .createObjectNode()
                .put("key", encode(item.key()))
                .put("create_revision", String.valueOf(item.createRevision()))
                .put("mod_revision", String.valueOf(item.modRevision()))
                .put("version", String.valueOf(item.version()))
                .put("value", item.value())
                .put("lease", String.valueOf(item.lease()));
    }

    private static JsonNode field(JsonNode body, String snake, String camel) {
        return body.has(snake) ? body.path(snake) : body.path(camel);
    }

    private static String key(JsonNode body) {
        String key = decode(body.path("key").asText());
        if (key.isEmpty()) {
            throw new IllegalArgumentException("etcdserver: key is not provided");
        }
        return key;
    }

    private static String end(JsonNode body) {
        String end = decode(field(body, "range_end", "rangeEnd").asText());
        return end.equals("\0") ? NO_END : end;
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }
}

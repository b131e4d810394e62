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
 * The stand-in for the platform's key-value store: a subset of etcd's v3 JSON gateway on a loopback
 * port. Counts calls, an open watch as one call, and refuses calls above its rate limits.
 */
final class StoreServer extends StandinServer {
    /**
     * The faults of the store.
     *
     * @param down whether calls have no effect and connections are closed without a response
     * @param slowMillis the delay added to each call, in milliseconds
     * @param loseAnswers the probability that a write takes effect and its response is lost
     * @param silentWatches whether watches stay open and send no events
     */
    record Faults(boolean down, int slowMillis, double loseAnswers, boolean silentWatches) {
        static final Faults NONE = new Faults(false, 0, 0, false);
    }

    private static final long WATCH_POLL_MILLIS = 5;
    private static final int MAX_VALUE_BASE64 = 1_400_000;
    private static final String END_OF_KEYSPACE = "\uffff";

    private final TokenBucket writeLimit;
    private final TokenBucket readLimit;
    private final StoreModel model = new StoreModel();
    private final SplittableRandom random = new SplittableRandom(1);
    private volatile Faults faults = Faults.NONE;
    private long readCalls;
    private long writeCalls;
    private long watchCalls;
    private long refusedCalls;

    StoreServer(StoreSpec spec) {
        super(spec.port());
        long nowMillis = System.currentTimeMillis();
        this.writeLimit = new TokenBucket(spec.writesPerSecond(), nowMillis);
        this.readLimit = new TokenBucket(spec.readsPerSecond(), nowMillis);
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/standin/")) {
            handleControl(exchange, path);
            return;
        }
        Faults current = faults;
        TimeUnit.MILLISECONDS.sleep(current.slowMillis());
        if (current.down()) {
            return;
        }
        JsonNode body = JsonHttpServer.read(exchange);
        if (path.equals("/v3/watch")) {
            watch(exchange, body.path("create_request"));
            return;
        }
        boolean write = !path.equals("/v3/kv/range");
        if (!tryAcquire(write)) {
            ObjectNode refusal = JsonHttpServer.JSON.createObjectNode();
            refusal.put("code", 8).put("message", "etcdserver: too many requests");
            JsonHttpServer.reply(exchange, 429, refusal);
            return;
        }
        ObjectNode response = response(path, body);
        if (response == null) {
            JsonHttpServer.error(exchange, 404, "not_found", path);
        } else if (!write || !isResponseLost(current)) {
            JsonHttpServer.reply(exchange, 200, response);
        }
    }

    private void handleControl(HttpExchange exchange, String path) throws IOException {
        if (path.equals("/standin/faults")) {
            faults = JsonHttpServer.read(exchange, Faults.class);
        }
        JsonHttpServer.reply(exchange, 200, counts());
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

    private synchronized boolean tryAcquire(boolean write) {
        long nowMillis = System.currentTimeMillis();
        model.expireLeases(nowMillis);
        if (write) {
            writeCalls++;
        } else {
            readCalls++;
        }
        boolean acquired =
                write ? writeLimit.tryAcquire(nowMillis) : readLimit.tryAcquire(nowMillis);
        refusedCalls += acquired ? 0 : 1;
        return acquired;
    }

    private synchronized boolean isResponseLost(Faults current) {
        return random.nextDouble() < current.loseAnswers();
    }

    private synchronized ObjectNode response(String path, JsonNode body) {
        ObjectNode response =
                switch (path) {
                    case "/v3/kv/range" -> range(body);
                    case "/v3/kv/put" -> write(() -> put(body));
                    case "/v3/kv/deleterange" -> write(() -> delete(body));
                    case "/v3/kv/txn" -> executeTransaction(body);
                    case "/v3/lease/grant" -> grant(body);
                    case "/v3/lease/keepalive" -> keepAlive(body);
                    case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> revoke(body);
                    default -> null;
                };
        return response;
    }

    private ObjectNode write(java.util.function.Supplier<ObjectNode> change) {
        model.beginWrite();
        return change.get();
    }

    private ObjectNode range(JsonNode body) {
        String key = key(body);
        String end = end(body);
        List<Item> items = end.isEmpty() ? model.get(key).stream().toList() : model.range(key, end);
        ObjectNode response = responseWithHeader();
        ArrayNode kvs = response.putArray("kvs");
        items.forEach(item -> kvs.add(json(item)));
        return response.put("count", String.valueOf(items.size()));
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
        return responseWithHeader();
    }

    private ObjectNode delete(JsonNode body) {
        int deleted = model.delete(key(body), end(body));
        return responseWithHeader().put("deleted", String.valueOf(deleted));
    }

    private ObjectNode executeTransaction(JsonNode body) {
        boolean succeeded = true;
        for (JsonNode compare : body.path("compare")) {
            succeeded &= compareHolds(compare);
        }
        JsonNode operations = body.path(succeeded ? "success" : "failure");
        boolean writing = false;
        for (JsonNode operation : operations) {
            writing |= !operation.has("requestRange") && !operation.has("request_range");
        }
        if (writing) {
            model.beginWrite();
        }
        ArrayNode responses = JsonHttpServer.JSON.createArrayNode();
        operations.forEach(operation -> responses.add(executeOperation(operation)));
        ObjectNode response = responseWithHeader().put("succeeded", succeeded);
        response.set("responses", responses);
        return response;
    }

    private boolean compareHolds(JsonNode compare) {
        Item item = model.get(key(compare)).orElse(null);
        long actual =
                switch (compare.path("target").asText("VERSION")) {
                    case "MOD" -> item == null ? 0 : item.modRevision();
                    case "CREATE" -> item == null ? 0 : item.createRevision();
                    case "VERSION" -> item == null ? 0 : item.version();
                    default ->
                            throw new IllegalArgumentException(
                                    "compare target must be MOD, CREATE or VERSION");
                };
        String name = compare.path("target").asText("VERSION").toLowerCase(java.util.Locale.ROOT);
        String snake = name.equals("version") ? name : name + "_revision";
        String camel = name.equals("version") ? name : name + "Revision";
        long expected = field(compare, snake, camel).asLong();
        return switch (compare.path("result").asText("EQUAL")) {
            case "EQUAL" -> actual == expected;
            case "GREATER" -> actual > expected;
            case "LESS" -> actual < expected;
            case "NOT_EQUAL" -> actual != expected;
            default ->
                    throw new IllegalArgumentException(
                            "compare result must be EQUAL, GREATER, LESS or NOT_EQUAL");
        };
    }

    private ObjectNode executeOperation(JsonNode operation) {
        JsonNode put = field(operation, "request_put", "requestPut");
        JsonNode delete = field(operation, "request_delete_range", "requestDeleteRange");
        ObjectNode response = JsonHttpServer.JSON.createObjectNode();
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
        long id =
                model.grantLease(TimeUnit.SECONDS.toMillis(ttlSeconds), System.currentTimeMillis());
        return responseWithHeader()
                .put("ID", String.valueOf(id))
                .put("TTL", String.valueOf(ttlSeconds));
    }

    private ObjectNode keepAlive(JsonNode body) {
        long id = body.path("ID").asLong();
        long ttlMillis = model.keepAlive(id, System.currentTimeMillis());
        ObjectNode result = responseWithHeader().put("ID", String.valueOf(id));
        if (ttlMillis > 0) {
            result.put("TTL", String.valueOf(TimeUnit.MILLISECONDS.toSeconds(ttlMillis)));
        }
        ObjectNode response = JsonHttpServer.JSON.createObjectNode();
        response.set("result", result);
        return response;
    }

    private ObjectNode revoke(JsonNode body) {
        model.revokeLease(body.path("ID").asLong());
        return responseWithHeader();
    }

    private void watch(HttpExchange exchange, JsonNode request)
            throws IOException, InterruptedException {
        String key = key(request);
        String end = end(request).isEmpty() ? key + '\0' : end(request);
        long next = field(request, "start_revision", "startRevision").asLong();
        ObjectNode firstLine = JsonHttpServer.JSON.createObjectNode();
        synchronized (this) {
            watchCalls++;
            next = next > 0 ? next : model.revision() + 1;
            firstLine.set("result", responseWithHeader().put("watch_id", "0").put("created", true));
            if (next < model.oldestWatchable()) {
                ((ObjectNode) firstLine.get("result"))
                        .put("canceled", true)
                        .put("compact_revision", String.valueOf(model.oldestWatchable()));
            }
        }
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        writeLine(out, firstLine);
        while (!faults.down()) {
            ObjectNode line = null;
            synchronized (this) {
                List<Change> changes = model.changes(key, end, next);
                if (!changes.isEmpty() && !faults.silentWatches()) {
                    next = changes.getLast().revision() + 1;
                    line = watchLine(changes);
                }
            }
            if (line == null) {
                // Polls, because waiting on the monitor would pin a carrier thread for each watch.
                Thread.sleep(WATCH_POLL_MILLIS);
            } else {
                writeLine(out, line);
            }
        }
    }

    private ObjectNode watchLine(List<Change> changes) {
        ObjectNode result = responseWithHeader().put("watch_id", "0");
        ArrayNode events = result.putArray("events");
        for (Change change : changes) {
            ObjectNode event = events.addObject();
            if (change.item().isEmpty()) {
                event.put("type", "DELETE");
            }
            ObjectNode kv = JsonHttpServer.JSON.createObjectNode();
            kv.put("key", encode(change.key()));
            kv.put("mod_revision", String.valueOf(change.revision()));
            event.set("kv", change.item().map(StoreServer::json).orElse(kv));
        }
        ObjectNode line = JsonHttpServer.JSON.createObjectNode();
        line.set("result", result);
        return line;
    }

    private static void writeLine(OutputStream out, ObjectNode line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private ObjectNode responseWithHeader() {
        ObjectNode response = JsonHttpServer.JSON.createObjectNode();
        response.putObject("header").put("revision", String.valueOf(model.revision()));
        return response;
    }

    private static ObjectNode json(Item item) {
        return JsonHttpServer.JSON
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
        return end.equals("\0") ? END_OF_KEYSPACE : end;
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in for the platform's metadata store (PROTOCOL.md): items, ranges, watches, transactions
 * and leases. All changes of one transaction have one revision.
 */
final class StoreStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;

    private final HttpServer server;
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private volatile boolean down;
    private long downMillis;
    private long revision = 100;
    private long nextLease = 7000;

    StoreStandin(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 200);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    /** Writes several keys in one transaction, in the order given; returns its revision. */
    synchronized long put(String... keysAndValues) {
        revision++;
        for (int i = 0; i < keysAndValues.length; i += 2) {
            byte[] bytes = keysAndValues[i + 1].getBytes(StandardCharsets.UTF_8);
            write(keysAndValues[i], Base64.getEncoder().encodeToString(bytes), 0);
        }
        notifyAll();
        return revision;
    }

    synchronized long delete(String key) {
        revision++;
        remove(key);
        notifyAll();
        return revision;
    }

    /** Closes each channel without an answer until {@link #up}; leases pause. */
    synchronized void down() {
        down = true;
        downMillis = System.currentTimeMillis();
        notifyAll();
    }

    synchronized void up() {
        if (down) {
            down = false;
            long paused = System.currentTimeMillis() - downMillis;
            leaseEnds.replaceAll((lease, end) -> end + paused);
        }
    }

    /** Returns the keys with a prefix. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(it -> it.startsWith(prefix)).toList();
    }

    /** Returns an item's value; null if there is none. */
    synchronized String value(String key) {
        ObjectNode item = items.get(key);
        return item == null
                ? null
                : new String(
                        Base64.getDecoder().decode(item.path("value").asText()),
                        StandardCharsets.UTF_8);
    }

    private void write(String key, String base64, long lease) {
        ObjectNode before = items.get(key);
        ObjectNode item = MAPPER.createObjectNode();
        item.put("key", key).put("value", base64).put("revision", revision);
        item.put(
                "create-revision",
                before == null ? revision : before.path("create-revision").asLong());
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(
                    MAPPER.createObjectNode()
                            .put("key", key)
                            .put("revision", revision)
                            .put("tombstone", true));
        }
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(100);
                synchronized (this) {
                    if (down) {
                        continue;
                    }
                    long now = System.currentTimeMillis();
                    List<Long> ended =
                            leaseEnds.entrySet().stream()
                                    .filter(it -> it.getValue() < now)
                                    .map(Map.Entry::getKey)
                                    .toList();
                    ended.forEach(this::endLease);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean endLease(long lease) {
        if (leaseEnds.remove(lease) == null) {
            return false;
        }
        List<String> keys =
                items.values().stream()
                        .filter(it -> it.path("lease").asLong() == lease)
                        .map(it -> it.path("key").asText())
                        .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (down) {
            exchange.close();
            return;
        }
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange);
        byte[] body = exchange.getRequestBody().readAllBytes();
        JsonNode call = body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(body);
        ObjectNode answer = MAPPER.createObjectNode();
        int status;
        if (path.equals("/kv-key")) {
            status = key(query.getOrDefault("key", ""), answer);
        } else if (path.equals("/kv-range")) {
            status = range(query, answer);
        } else if (path.equals("/kv-watch")) {
            status = watch(query, answer);
        } else if (path.equals("/kv-txn")) {
            status = transact(call, answer);
        } else if (path.equals("/kv-lease")) {
            status = lease(call.path("ttl-ms").asLong(), answer);
        } else if (path.startsWith("/kv-keep/")) {
            status = keep(Long.parseLong(path.substring(9)), answer);
        } else if (path.startsWith("/kv-lease-end/")) {
            status = endLease(Long.parseLong(path.substring(14))) ? 200 : 404;
        } else {
            status = 404;
        }
        if (down) {
            exchange.close();
            return;
        }
        byte[] bytes = MAPPER.writeValueAsBytes(answer);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String all = exchange.getRequestURI().getRawQuery();
        for (String part : (all == null ? "" : all).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                result.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private synchronized int key(String key, ObjectNode answer) {
        answer.put("as-of", revision);
        ObjectNode item = items.get(key);
        if (item == null) {
            return 404;
        }
        answer.setAll(item);
        answer.put("as-of", revision);
        return 200;
    }

    private synchronized int range(Map<String, String> query, ObjectNode answer) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        ArrayNode found = answer.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, ObjectNode> it : items.tailMap(prefix).entrySet()) {
            if (!it.getKey().startsWith(prefix)) {
                break;
            }
            if (it.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (found.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            found.add(it.getValue());
        }
        answer.put("truncated", truncated).put("as-of", revision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, ObjectNode answer) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("wait-ms"));
        ArrayNode events = answer.putArray("events");
        try {
            while (true) {
                for (ObjectNode event : history) {
                    if (event.path("revision").asLong() > after
                            && event.path("key").asText().startsWith(prefix)) {
                        events.add(event);
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0 || down) {
                    answer.put("as-of", revision);
                    return 200;
                }
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 503;
        }
    }

    private synchronized int transact(JsonNode call, ObjectNode answer) {
        List<ObjectNode> present = new ArrayList<>();
        boolean conflict = false;
        for (JsonNode row : call.path("if-rev")) {
            ObjectNode item = items.get(row.path("key").asText());
            long found = item == null ? 0 : item.path("revision").asLong();
            conflict |= found != row.path("revision").asLong();
            if (item != null) {
                present.add(item);
            }
        }
        if (conflict) {
            ArrayNode list = answer.putArray("items");
            present.forEach(list::add);
            return 412;
        }
        for (JsonNode row : call.path("puts")) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return 404;
            }
            String key = row.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
        }
        revision++;
        for (JsonNode row : call.path("puts")) {
            write(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        call.path("deletes").forEach(row -> remove(row.asText()));
        notifyAll();
        answer.put("revision", revision);
        return 200;
    }

    private synchronized int lease(long ttlMillis, ObjectNode answer) {
        long lease = nextLease++;
        leaseTtls.put(lease, ttlMillis);
        leaseEnds.put(lease, System.currentTimeMillis() + ttlMillis);
        answer.put("lease", lease).put("ttl-ms", ttlMillis);
        return 200;
    }

    private synchronized int keep(long lease, ObjectNode answer) {
        if (!leaseEnds.containsKey(lease)) {
            return 404;
        }
        leaseEnds.put(lease, System.currentTimeMillis() + leaseTtls.get(lease));
        answer.put("ttl-ms", leaseTtls.get(lease));
        return 200;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}

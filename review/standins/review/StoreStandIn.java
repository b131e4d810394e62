package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it: items, watches, transactions and leases. */
final class StoreStandIn {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ITEMS = 500;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ServerSocket server = new ServerSocket();
    private long revision = 1;
    private long nextLease = 1;
    private int cuts;
    private int era = 1;
    private boolean away;
    private Copy copy;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    /** A copy of the store's contents, from which it may come back. */
    private record Copy(
            TreeMap<String, Item> items,
            List<Event> events,
            Map<Long, Lease> leases,
            long revision) {}

    private record Lease(long ttlMillis, long endNanos) {}

    StoreStandIn(String ip) throws IOException {
        server.bind(new InetSocketAddress(ip, 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an item as the operator or a worker does; returns when the store has accepted it. */
    synchronized long put(String key, String value) {
        return change(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        change(key, null, 0);
    }

    private long change(String key, byte[] value, long lease) {
        Item before = items.get(key);
        if (before == null && value == null) {
            return revision;
        }
        revision++;
        Item item =
                value == null
                        ? null
                        : new Item(value, revision, before == null ? revision : before.created, lease);
        if (item == null) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        events.add(new Event(key, revision, item));
        notifyAll();
        return revision;
    }

    /** Takes the copy from which {@link #restore} brings the store back. */
    synchronized void takeCopy() {
        copy =
                new Copy(
                        new TreeMap<>(items), new ArrayList<>(events), new HashMap<>(leases), revision);
    }

    /** The store is away: it answers 503, and waiting watches are cut. */
    synchronized void goAway() {
        away = true;
        cutWatches();
    }

    /** The store comes back from its copy, in a new era. */
    synchronized void restore() {
        items.clear();
        items.putAll(copy.items);
        events.clear();
        events.addAll(copy.events);
        leases.clear();
        leases.putAll(copy.leases);
        revision = copy.revision;
        era++;
        away = false;
    }

    private synchronized int era() {
        return era;
    }

    private synchronized boolean isAway() {
        return away;
    }

    /** Cuts all waiting watches: their channels are closed without an answer. */
    synchronized void cutWatches() {
        cuts++;
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                ObjectNode body = MAPPER.createObjectNode();
                int status = isAway() ? 503 : handle(call, body);
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + status + " X",
                        Map.of(
                                "Content-Type",
                                "application/json",
                                "Store-Era",
                                String.valueOf(era())),
                        MAPPER.writeValueAsBytes(body));
            }
        } catch (IOException | InterruptedException e) {
            // The caller closed the connection.
        }
    }

    private int handle(Http.Message call, ObjectNode body)
            throws IOException, InterruptedException {
        String[] words = call.line().split(" ");
        String path = words[1].split("\\?")[0];
        Map<String, String> query = query(words[1]);
        if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring(9)), body);
        }
        return switch (path) {
            case "/kv-key" -> get(query.get("key"), body);
            case "/kv-range" ->
                    range(query.get("prefix"), query.getOrDefault("after", ""), body);
            case "/kv-watch" ->
                    watch(
                            query.get("prefix"),
                            Long.parseLong(query.get("after")),
                            Long.parseLong(query.get("wait-ms")),
                            body);
            case "/kv-txn" -> transact(MAPPER.readTree(call.body()), body);
            case "/kv-lease" -> lease(MAPPER.readTree(call.body()).path("ttl-ms").asLong(), body);
            default -> 404;
        };
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> result = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark >= 0) {
            for (String pair : uri.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                result.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private static ObjectNode describe(ObjectNode node, String key, Item item) {
        return node.put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value))
                .put("revision", item.revision)
                .put("create-revision", item.created)
                .put("lease", item.lease);
    }

    private synchronized int get(String key, ObjectNode body) {
        expireLeases();
        body.put("as-of", revision);
        Item item = items.get(key);
        if (item == null) {
            return 404;
        }
        describe(body, key, item);
        return 200;
    }

    private synchronized int range(String prefix, String after, ObjectNode body) {
        expireLeases();
        ArrayNode found = body.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                truncated = found.size() == MAX_ITEMS;
                if (truncated) {
                    break;
                }
                describe(found.addObject(), entry.getKey(), entry.getValue());
            }
        }
        body.put("truncated", truncated).put("as-of", revision);
        return 200;
    }

    private synchronized int watch(String prefix, long after, long waitMillis, ObjectNode body)
            throws InterruptedException, IOException {
        if (after > revision) {
            return 410;
        }
        int cutsBefore = cuts;
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        ArrayNode found = body.putArray("events");
        while (true) {
            if (cuts != cutsBefore) {
                throw new IOException("the watch is cut");
            }
            for (Event event : events) {
                if (event.revision > after && event.key.startsWith(prefix)) {
                    if (event.item == null) {
                        found.addObject()
                                .put("key", event.key)
                                .put("revision", event.revision)
                                .put("tombstone", true);
                    } else {
                        describe(found.addObject(), event.key, event.item);
                    }
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                body.put("as-of", revision);
                return 200;
            }
            wait(leftMillis);
        }
    }

    private synchronized int transact(JsonNode call, ObjectNode body) {
        expireLeases();
        boolean holds = true;
        for (JsonNode row : call.path("if-rev")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
        }
        if (!holds) {
            ArrayNode current = body.putArray("items");
            for (JsonNode row : call.path("if-rev")) {
                Item item = items.get(row.path("key").asText());
                if (item != null) {
                    describe(current.addObject(), row.path("key").asText(), item);
                }
            }
            return 412;
        }
        for (JsonNode put : call.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            change(
                    put.path("key").asText(),
                    Base64.getDecoder().decode(put.path("value").asText()),
                    lease);
        }
        for (JsonNode key : call.path("deletes")) {
            change(key.asText(), null, 0);
        }
        body.put("revision", revision);
        return 200;
    }

    private synchronized int lease(long ttlMillis, ObjectNode body) {
        long id = nextLease++;
        leases.put(id, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
        body.put("lease", id).put("ttl-ms", ttlMillis);
        return 200;
    }

    private synchronized int keep(long id, ObjectNode body) {
        expireLeases();
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        leases.put(
                id, new Lease(lease.ttlMillis, System.nanoTime() + lease.ttlMillis * 1_000_000));
        body.put("lease", id).put("ttl-ms", lease.ttlMillis);
        return 200;
    }

    private void expireLeases() {
        long nowNanos = System.nanoTime();
        for (long id : List.copyOf(leases.keySet())) {
            if (nowNanos - leases.get(id).endNanos > 0) {
                leases.remove(id);
                List.copyOf(items.keySet()).stream()
                        .filter(key -> items.get(key).lease == id)
                        .forEach(key -> change(key, null, 0));
            }
        }
    }
}

package org.orioleshed.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.orioleshed.model.Payload;

/** Encodes and decodes request and response bodies of etcd's v3 JSON gateway. */
final class EtcdJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /**
     * One line of a watch response.
     *
     * @param cancelled whether the store cancelled the watch
     * @param changes the changed keys, in order
     */
    record WatchLine(boolean cancelled, List<Change> changes) {}

    /** One changed key; the value is empty if the key was deleted. */
    record Change(String key, Optional<Payload> value, StoreRevision revision) {}

    private EtcdJson() {}

    static String get(String key, StoreRevision afterRevision) {
        ObjectNode body = MAPPER.createObjectNode().put("key", encode(key));
        if (!afterRevision.isNone()) {
            body.put("min_mod_revision", Long.toString(afterRevision.next().number()));
        }
        return body.toString();
    }

    static String list(String prefix) {
        return MAPPER.createObjectNode()
                .put("key", encode(prefix))
                .put("range_end", encodeRangeEnd(prefix))
                .toString();
    }

    static String swap(String key, StoreRevision expectedRevision, Payload value, long leaseId) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("compare")
                .addObject()
                .put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision.number()));
        ObjectNode put =
                body.putArray("success")
                        .addObject()
                        .putObject("request_put")
                        .put("key", encode(key))
                        .put("value", Base64.getEncoder().encodeToString(value.toBytes()));
        if (leaseId != 0) {
            put.put("lease", Long.toString(leaseId));
        }
        body.putArray("failure").addObject().putObject("request_range").put("key", encode(key));
        return body.toString();
    }

    static String grantLease(long ttlMillis) {
        long seconds = Math.max(1, Math.ceilDiv(ttlMillis, MILLIS_PER_SECOND));
        return MAPPER.createObjectNode().put("TTL", Long.toString(seconds)).toString();
    }

    static String keepAlive(long leaseId) {
        return MAPPER.createObjectNode().put("ID", Long.toString(leaseId)).toString();
    }

    static String watch(String prefix, StoreRevision fromRevision) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("create_request")
                .put("key", encode(prefix))
                .put("range_end", encodeRangeEnd(prefix))
                .put("start_revision", Long.toString(fromRevision.number()))
                .put("progress_notify", true);
        return body.toString();
    }

    static Store.Result readEntries(String text) {
        return read(text, (body, revision) -> new Store.Result.Entries(entries(body), revision));
    }

    static Store.Result readSwap(String text) {
        return read(
                text,
                (body, revision) -> {
                    if (body.path("succeeded").asBoolean()) {
                        return new Store.Result.Swapped(revision);
                    }
                    List<Store.Entry> current =
                            entries(body.path("responses").path(0).path("response_range"));
                    return new Store.Result.Conflict(current.stream().findFirst());
                });
    }

    static Store.Result readLease(String text) {
        return read(
                text,
                (body, revision) -> {
                    JsonNode lease = body.has("result") ? body.get("result") : body;
                    return new Store.Result.Lease(
                            lease.path("ID").asLong(),
                            lease.path("TTL").asLong() * MILLIS_PER_SECOND);
                });
    }

    /** Decodes one line of a watch; empty if the line is not valid. */
    static Optional<WatchLine> readWatchLine(String text) {
        try {
            JsonNode body = MAPPER.readTree(text);
            JsonNode result = body.path("result");
            List<Change> changes = new ArrayList<>();
            for (JsonNode event : result.path("events")) {
                changes.add(change(event));
            }
            boolean cancelled = body.has("error") || result.path("canceled").asBoolean();
            return Optional.of(new WatchLine(cancelled, changes));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Change change(JsonNode event) {
        JsonNode kv = event.path("kv");
        boolean deleted = event.path("type").asText().equals("DELETE");
        return new Change(
                decode(kv.path("key").asText()),
                deleted ? Optional.empty() : Optional.of(payload(kv)),
                revision(kv.path("mod_revision")));
    }

    private static Store.Result read(
            String text, BiFunction<JsonNode, StoreRevision, Store.Result> reader) {
        try {
            JsonNode body = MAPPER.readTree(text);
            if (!body.isObject()) {
                return new Store.Result.Unknown("store response without content");
            }
            JsonNode header = body.path("result").path("header");
            header = header.isMissingNode() ? body.path("header") : header;
            return reader.apply(body, revision(header.path("revision")));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return new Store.Result.Unknown("store response cannot be decoded: " + e.getMessage());
        }
    }

    private static List<Store.Entry> entries(JsonNode body) {
        List<Store.Entry> entries = new ArrayList<>();
        for (JsonNode kv : body.path("kvs")) {
            entries.add(
                    new Store.Entry(
                            decode(kv.path("key").asText()),
                            payload(kv),
                            revision(kv.path("mod_revision"))));
        }
        return entries;
    }

    /** Returns a revision; this interface of the store states no eras. */
    private static StoreRevision revision(JsonNode node) {
        return StoreRevision.of(Math.max(0, node.asLong()));
    }

    private static Payload payload(JsonNode kv) {
        return Payload.of(Base64.getDecoder().decode(kv.path("value").asText()));
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the encoded exclusive end of the range of keys that start with {@code prefix}. */
    private static String encodeRangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        for (int i = end.length - 1; i >= 0; i--) {
            if (end[i] != (byte) 0xff) {
                end[i]++;
                return Base64.getEncoder().encodeToString(Arrays.copyOf(end, i + 1));
            }
        }
        return Base64.getEncoder().encodeToString(new byte[1]);
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}

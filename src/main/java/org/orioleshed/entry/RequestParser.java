package org.orioleshed.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.sun.net.httpserver.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.PromptBlocks;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.Work;

/** Validates HTTP requests of callers and converts them to {@link Request}s. */
final class RequestParser {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int MAX_NAME_CHARS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HostId self;
    private final long incarnation;
    private final AtomicLong sequence = new AtomicLong();
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile WorkspaceKeys keys = new WorkspaceKeys(FleetSnapshot.EMPTY);

    RequestParser(HostId self, long incarnation) {
        this.self = self;
        this.incarnation = incarnation;
    }

    /** Sets the fleet snapshot that requests are validated against. */
    void fleet(FleetSnapshot newFleet) {
        if (newFleet.workspaces() != fleet.workspaces()) {
            keys = new WorkspaceKeys(newFleet);
        }
        fleet = newFleet;
    }

    /** Returns the workspace of the caller's bearer key. */
    Optional<Workspace> workspace(Headers headers) {
        return keys.workspace(headers.getFirst("Authorization"));
    }

    /** Parses a chat completion request. */
    Admission chat(Headers headers, byte[] body, long nowNanos) {
        Optional<Workspace> workspace = workspace(headers);
        if (workspace.isEmpty()) {
            return unauthorized();
        }
        JsonNode root = object(body);
        if (root == null) {
            return bad("bad_json", "the body must be a JSON object");
        }
        if (!root.path("model").isTextual() || root.path("model").textValue().isBlank()) {
            return bad("bad_model", "'model' must be the name of a route");
        }
        Route route = route(root.path("model").textValue());
        if (route == null || !(route.target() instanceof Target.Model target)) {
            return unknownRoute(root.path("model").textValue());
        }
        Optional<String> prompt = prompt(root.path("messages"));
        if (prompt.isEmpty()) {
            return bad(
                    "bad_messages",
                    "'messages' must be a list of objects with 'role' and 'content' texts");
        }
        JsonNode requestedTokens = root.path("max_tokens");
        if (!requestedTokens.isMissingNode()
                && (!requestedTokens.isInt() || requestedTokens.intValue() < 1)) {
            return bad("bad_max_tokens", "'max_tokens' must be a positive whole number");
        }
        int maxTokens =
                Math.min(
                        requestedTokens.asInt(workspace.get().maxOutputTokens()),
                        workspace.get().maxOutputTokens());
        Work work =
                new Work.Generate(
                        PromptBlocks.tokens(prompt.get()),
                        maxTokens,
                        PromptBlocks.hashes(prompt.get()));
        Payload engineBody = engineBody(root, target, maxTokens);
        Fingerprint fingerprint = fingerprint(route.id().value(), prompt.get());
        boolean streaming = root.path("stream").asBoolean(false);
        return admit(
                headers,
                workspace.get(),
                route,
                work,
                engineBody,
                fingerprint,
                streaming,
                nowNanos);
    }

    /** Parses a call to a service. */
    Admission service(Headers headers, String routeName, String call, byte[] body, long nowNanos) {
        Optional<Workspace> workspace = workspace(headers);
        if (workspace.isEmpty()) {
            return unauthorized();
        }
        Route route = route(routeName);
        if (route == null || !(route.target() instanceof Target.Service)) {
            return unknownRoute(routeName);
        }
        Boolean repeatable = route.calls().get(call);
        if (repeatable == null) {
            return new BadRequest(
                    NOT_FOUND, "unknown_call", "service " + routeName + " has no such call");
        }
        if (object(body) == null) {
            return bad("bad_json", "the body must be a JSON object");
        }
        if (!repeatable && headers.getFirst("Idempotency-Key") == null) {
            return bad(
                    "key_missing",
                    "this call is not repeatable and requires an Idempotency-Key header");
        }
        Payload payload = Payload.of(body);
        Fingerprint fingerprint = fingerprint(routeName + "/" + call, payload.text());
        return admit(
                headers,
                workspace.get(),
                route,
                new Work.Call(call, repeatable),
                payload,
                fingerprint,
                false,
                nowNanos);
    }

    private Admission admit(
            Headers headers,
            Workspace workspace,
            Route route,
            Work work,
            Payload body,
            Fingerprint fingerprint,
            boolean streaming,
            long nowNanos) {
        RequestId id = new RequestId(self, incarnation, sequence.incrementAndGet());
        String key = headers.getFirst("Idempotency-Key");
        if (key != null && (key.isBlank() || key.length() > MAX_NAME_CHARS)) {
            return bad("bad_key", "Idempotency-Key must have 1 to 200 characters");
        }
        Optional<Tier> tier = tier(headers.getFirst("X-Tier"), workspace);
        if (tier.isEmpty()) {
            return new BadRequest(
                    FORBIDDEN,
                    "tier_not_allowed",
                    "X-Tier or the default tier is not allowed for this workspace");
        }
        long maxMillis = workspace.tiers().get(tier.get());
        Optional<Long> deadlineMillis = deadlineMillis(headers, maxMillis);
        if (deadlineMillis.isEmpty()) {
            return bad("bad_deadline", "X-Deadline-Millis must be a positive whole number");
        }
        RequestKey requestKey = new RequestKey(workspace.id(), key == null ? "auto-" + id : key);
        long deadlineNanos = nowNanos + deadlineMillis.get() * NANOS_PER_MILLI;
        Request request =
                new Request(
                        id,
                        requestKey,
                        route.id(),
                        tier.get(),
                        deadlineNanos,
                        nowNanos,
                        fingerprint,
                        work,
                        body);
        return new Admission.Admitted(request, streaming);
    }

    private static Optional<Tier> tier(String name, Workspace workspace) {
        if (name == null) {
            return Optional.of(workspace.defaultTier()).filter(workspace.tiers()::containsKey);
        }
        return workspace.tiers().keySet().stream()
                .filter(tier -> tier.name().equals(name))
                .findFirst();
    }

    private static Optional<Long> deadlineMillis(Headers headers, long maxMillis) {
        String header = headers.getFirst("X-Deadline-Millis");
        if (header == null) {
            return Optional.of(maxMillis);
        }
        try {
            long millis = Long.parseLong(header.strip());
            return millis < 1 ? Optional.empty() : Optional.of(Math.min(millis, maxMillis));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private Route route(String name) {
        return name.isBlank() || name.length() > MAX_NAME_CHARS
                ? null
                : fleet.routes().get(new RouteId(name));
    }

    private static Optional<String> prompt(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return Optional.empty();
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                return Optional.empty();
            }
            if (!prompt.isEmpty()) {
                prompt.append('\n');
            }
            prompt.append(message.path("content").textValue());
        }
        return Optional.of(prompt.toString());
    }

    private static Payload engineBody(JsonNode root, Target.Model target, int maxTokens) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", target.model().value());
        body.set("messages", root.path("messages"));
        body.put("max_tokens", maxTokens);
        body.put("stream", true);
        return Payload.of(body.toString());
    }

    private static Fingerprint fingerprint(String scope, String content) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putUnencodedChars(scope).putChar('\0').putUnencodedChars(content);
        HashCode hash = hasher.hash();
        ByteBuffer bytes = ByteBuffer.wrap(hash.asBytes());
        return new Fingerprint(bytes.getLong(), bytes.getLong());
    }

    private static JsonNode object(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return root != null && root.isObject() ? root : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static BadRequest bad(String code, String message) {
        return new BadRequest(BAD_REQUEST, code, message);
    }

    private static BadRequest unauthorized() {
        return new BadRequest(
                UNAUTHORIZED, "unauthorized", "Authorization must carry a known bearer key");
    }

    private static BadRequest unknownRoute(String name) {
        return new BadRequest(NOT_FOUND, "unknown_route", "no such route: " + name);
    }
}

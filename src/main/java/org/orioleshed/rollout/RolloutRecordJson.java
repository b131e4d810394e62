package org.orioleshed.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/** Writes and reads {@link RolloutRecord} as JSON. */
final class RolloutRecordJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RolloutRecordJson() {}

    static Payload write(RolloutRecord rollout) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", rollout.id().value());
        switch (rollout.target()) {
            case Target.Model model -> node.put("model", model.model().value());
            case Target.Service service -> node.put("service", service.service().value());
        }
        node.put("from", rollout.from().value());
        node.put("to", rollout.to().value());
        ArrayNode routes = node.putArray("routes");
        rollout.routes().forEach(route -> routes.add(route.value()));
        node.put("plannedMillis", rollout.plannedMillis());
        node.put("completeByMillis", rollout.completeByMillis());
        ArrayNode loads = node.putArray("loads");
        rollout.loads().forEach(server -> loads.add(server.value()));
        node.put("state", rollout.state().name());
        node.put("step", rollout.step());
        node.put("startedMillis", rollout.startedMillis());
        node.put("fence", rollout.fence());
        node.put("decidedMillis", rollout.decidedMillis());
        node.put("author", rollout.author());
        node.put("reason", rollout.reason());
        return Payload.of(node.toString());
    }

    static RolloutRecord read(Payload payload) throws BadRecordException {
        try {
            JsonNode node = MAPPER.readTree(payload.toBytes());
            if (node == null || !node.isObject()) {
                throw new IllegalArgumentException("not a JSON object");
            }
            return record(node);
        } catch (IOException | IllegalArgumentException e) {
            throw new BadRecordException("invalid rollout record: " + e.getMessage(), e);
        }
    }

    private static RolloutRecord record(JsonNode node) {
        Target target =
                node.has("model")
                        ? new Target.Model(new ModelId(text(node, "model")))
                        : new Target.Service(new ServiceId(text(node, "service")));
        return new RolloutRecord(
                new RolloutId(text(node, "id")),
                target,
                new VersionId(text(node, "from")),
                new VersionId(text(node, "to")),
                texts(node, "routes").stream().map(RouteId::new).toList(),
                number(node, "plannedMillis"),
                number(node, "completeByMillis"),
                texts(node, "loads").stream().map(ServerId::new).toList(),
                RolloutState.valueOf(text(node, "state")),
                (int) Math.min(Integer.MAX_VALUE, number(node, "step")),
                number(node, "startedMillis"),
                number(node, "fence"),
                number(node, "decidedMillis"),
                text(node, "author"),
                text(node, "reason"));
    }

    private static String text(JsonNode node, String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isTextual()) {
            throw new IllegalArgumentException(name + " must be a string");
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException(name + " must be an integer");
        }
        return value.longValue();
    }

    private static List<String> texts(JsonNode node, String name) {
        JsonNode values = node.get(name);
        if (values == null || !values.isArray()) {
            throw new IllegalArgumentException(name + " must be a list of strings");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode value : values) {
            if (!value.isTextual()) {
                throw new IllegalArgumentException(name + " must be a list of strings");
            }
            texts.add(value.textValue());
        }
        return texts;
    }
}

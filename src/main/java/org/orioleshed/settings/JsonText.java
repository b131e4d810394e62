package org.orioleshed.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Parses JSON that may contain comments and trailing commas. */
final class JsonText {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private JsonText() {}

    static JsonMapper mapper() {
        return MAPPER;
    }

    /** Parses {@code text} as an object; on failure adds to {@code problems} and returns null. */
    static ObjectNode parseObject(String text, List<Problem> problems) {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            problems.add(
                    Problem.of(
                            "", "", "valid JSON, comments permitted: " + messageWithLocation(e)));
            return null;
        }
        if (!(node instanceof ObjectNode object)) {
            problems.add(Problem.of("", node, "an object"));
            return null;
        }
        return object;
    }

    /** Parses {@code text} as any JSON value. */
    static JsonNode parseValue(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Parses a JSON constant of the code. */
    static JsonNode constant(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid JSON constant: " + json, e);
        }
    }

    /** Returns a new object with the same child nodes; the children are not copied. */
    static ObjectNode shallowCopy(ObjectNode node) {
        ObjectNode copy = MAPPER.createObjectNode();
        copy.setAll(node);
        return copy;
    }

    /** Returns the JSON pointer to the child {@code name} of {@code path}. */
    static String childPointer(String path, String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }

    private static String messageWithLocation(JsonProcessingException e) {
        String location =
                e.getLocation() == null
                        ? ""
                        : " at line "
                                + e.getLocation().getLineNr()
                                + ", column "
                                + e.getLocation().getColumnNr();
        return e.getOriginalMessage() + location;
    }
}

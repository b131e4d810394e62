package org.orioleshed.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Reads and writes JSON with comments. */
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

    /** Returns the object in {@code text}, or null after adding to {@code problems}. */
    static ObjectNode parseObject(String text, List<Problem> problems) {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            problems.add(Problem.of("", "", "JSON with comments: " + where(e)));
            return null;
        }
        if (!(node instanceof ObjectNode object)) {
            problems.add(Problem.of("", node, "an object"));
            return null;
        }
        return object;
    }

    /** Returns the value in {@code text}. */
    static JsonNode parseValue(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Returns the value of a constant in the code. */
    static JsonNode constant(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + json, e);
        }
    }

    /** Returns an object of its own that holds the same values. */
    static ObjectNode copy(ObjectNode node) {
        ObjectNode copy = MAPPER.createObjectNode();
        copy.setAll(node);
        return copy;
    }

    /** Returns {@code path} with {@code name} below it, as a JSON pointer. */
    static String below(String path, String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }

    private static String where(JsonProcessingException e) {
        String place =
                e.getLocation() == null
                        ? ""
                        : " at line "
                                + e.getLocation().getLineNr()
                                + ", column "
                                + e.getLocation().getColumnNr();
        return e.getOriginalMessage() + place;
    }
}

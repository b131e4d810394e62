package org.orioleshed.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One call of the admin API, read and checked.
 *
 * @param method the HTTP method
 * @param path the path's parts after {@link AdminServer#PREFIX}
 * @param query the query's parameters
 * @param body the body, empty when there is none
 */
record AdminCall(String method, List<String> path, Map<String, String> query, JsonNode body) {
    private static final int MAX_FIELD = 1_000;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    static AdminCall of(String method, String rawPath, String rawQuery, byte[] body)
            throws AdminException {
        List<String> path = new ArrayList<>();
        for (String part : rawPath.split("/", -1)) {
            if (!part.isEmpty()) {
                path.add(decode(part));
            }
        }
        return new AdminCall(method, path, query(rawQuery), json(body));
    }

    private static Map<String, String> query(String rawQuery) throws AdminException {
        Map<String, String> query = new HashMap<>();
        if (rawQuery == null) {
            return query;
        }
        for (String pair : rawQuery.split("&", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
            }
        }
        return query;
    }

    private static String decode(String text) throws AdminException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new AdminException(AdminError.BAD_INPUT, "bad escape in the address");
        }
    }

    private static JsonNode json(byte[] body) throws AdminException {
        if (body.length == 0) {
            return MAPPER.createObjectNode();
        }
        try {
            JsonNode node = MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
            if (node == null || !node.isObject()) {
                throw new AdminException(AdminError.BAD_INPUT, "body must be a JSON object");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new AdminException(
                    AdminError.BAD_INPUT, "body is not JSON: " + e.getOriginalMessage());
        }
    }

    /** Returns a required string of the body. */
    String text(String name) throws AdminException {
        return optionalText(name)
                .filter(text -> !text.isBlank())
                .orElseThrow(
                        () -> new AdminException(AdminError.BAD_INPUT, name + " must be given"));
    }

    /** Returns a string of the body, if it is there. */
    Optional<String> optionalText(String name) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null || value.isNull()) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be a string");
        }
        if (value.textValue().length() > MAX_FIELD) {
            throw new AdminException(
                    AdminError.BAD_INPUT,
                    name + " must not be longer than " + MAX_FIELD + " characters");
        }
        return Optional.of(value.textValue());
    }

    /** Returns a whole number of the body; {@code missing} when it is not there. */
    long number(String name, long missing) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null || value.isNull()) {
            return missing;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new AdminException(
                    AdminError.BAD_INPUT, name + " must be a whole number, not negative");
        }
        return value.longValue();
    }

    /** Returns a yes or no of the body; no when it is not there. */
    boolean flag(String name) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be true or false");
        }
        return value.booleanValue();
    }

    /** Returns a list of strings of the body; empty when it is not there. */
    List<String> texts(String name) throws AdminException {
        JsonNode values = body.get(name);
        if (values == null) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode value : values) {
            if (!value.isTextual() || value.textValue().isBlank()) {
                throw new AdminException(AdminError.BAD_INPUT, name + " must list strings");
            }
            texts.add(value.textValue());
        }
        if (!values.isArray()) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be a list");
        }
        return texts;
    }

    /** Returns a value of the body as JSON. */
    String json(String name) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be given");
        }
        return value.toString();
    }

    /** Returns a whole number of the query, within bounds; {@code missing} when it is not there. */
    long queryNumber(String name, long missing, long most) throws AdminException {
        String text = query.get(name);
        if (text == null) {
            return missing;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with the bounds.
        }
        throw new AdminException(
                AdminError.BAD_INPUT, name + " must be a whole number from 0 to " + most);
    }
}

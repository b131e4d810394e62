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
 * A parsed call of the admin API, with accessors that validate its parameters.
 *
 * @param method the HTTP method
 * @param path the path segments after {@link AdminServer#PREFIX}
 * @param query the query parameters
 * @param body the body; an empty object if there is none
 */
record AdminCall(String method, List<String> path, Map<String, String> query, JsonNode body) {
    private static final int MAX_FIELD_CHARS = 1_000;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    static AdminCall of(String method, String rawPath, String rawQuery, byte[] body)
            throws AdminException {
        List<String> path = new ArrayList<>();
        for (String segment : rawPath.split("/", -1)) {
            if (!segment.isEmpty()) {
                path.add(decode(segment));
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
            throw new AdminException(AdminError.BAD_INPUT, "URL has a malformed percent escape");
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

    /** Returns a required string field of the body. */
    String requiredText(String name) throws AdminException {
        return optionalText(name)
                .filter(text -> !text.isBlank())
                .orElseThrow(
                        () -> new AdminException(AdminError.BAD_INPUT, name + " must be given"));
    }

    /** Returns an optional string field of the body. */
    Optional<String> optionalText(String name) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null || value.isNull()) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be a string");
        }
        if (value.textValue().length() > MAX_FIELD_CHARS) {
            throw new AdminException(
                    AdminError.BAD_INPUT,
                    name + " must not be longer than " + MAX_FIELD_CHARS + " characters");
        }
        return Optional.of(value.textValue());
    }

    /**
     * Returns a non-negative integer field of the body, or {@code defaultValue} if it is absent.
     */
    long number(String name, long defaultValue) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null || value.isNull()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new AdminException(
                    AdminError.BAD_INPUT, name + " must be a whole number, zero or greater");
        }
        return value.longValue();
    }

    /** Returns a boolean field of the body, or false if it is absent. */
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

    /** Returns a list of non-blank strings of the body, or an empty list if it is absent. */
    List<String> textList(String name) throws AdminException {
        JsonNode values = body.get(name);
        if (values == null) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode value : values) {
            if (!value.isTextual() || value.textValue().isBlank()) {
                throw new AdminException(
                        AdminError.BAD_INPUT, name + " must contain only non-blank strings");
            }
            texts.add(value.textValue());
        }
        if (!values.isArray()) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be a list");
        }
        return texts;
    }

    /** Returns a required field of the body as JSON text. */
    String json(String name) throws AdminException {
        JsonNode value = body.get(name);
        if (value == null) {
            throw new AdminException(AdminError.BAD_INPUT, name + " must be given");
        }
        return value.toString();
    }

    /** Returns a query parameter from 0 to {@code max}, or {@code defaultValue} if it is absent. */
    long queryNumber(String name, long defaultValue, long max) throws AdminException {
        String text = query.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, with the bounds.
        }
        throw new AdminException(
                AdminError.BAD_INPUT, name + " must be a whole number from 0 to " + max);
    }
}

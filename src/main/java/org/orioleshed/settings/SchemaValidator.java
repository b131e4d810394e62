package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates JSON against the schema and collects all problems. */
final class SchemaValidator {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_TEXT_LENGTH = 200;

    /** Whether an object must hold all required fields, or may inherit some of them. */
    enum Completeness {
        COMPLETE,
        PARTIAL
    }

    private final List<Problem> problems;

    SchemaValidator(List<Problem> problems) {
        this.problems = problems;
    }

    /** Validates {@code value}, located at {@code path}, against {@code type}. */
    void check(FieldType type, JsonNode value, String path, Completeness completeness) {
        if (value.isNull() && completeness == Completeness.PARTIAL) {
            return;
        }
        switch (type) {
            case FieldType.ListOf list -> checkList(list, value, path);
            case FieldType.Group group -> checkGroup(group, value, path, completeness);
            case FieldType.MapOf map -> checkMap(map, value, path, completeness);
            case FieldType.TreeOf tree -> checkTree(tree, value, path);
            default -> checkScalar(type, value, path);
        }
    }

    private void checkScalar(FieldType type, JsonNode value, String path) {
        if (!isValid(type, value)) {
            Optional<String> nearest =
                    type instanceof FieldType.Choice choice
                            ? NearestName.of(value.asText(), choice.values())
                            : Optional.empty();
            problems.add(new Problem(path, value.toString(), type.allowed(), nearest));
        }
    }

    private static boolean isValid(FieldType type, JsonNode value) {
        return switch (type) {
            case FieldType.Text text -> isText(value);
            case FieldType.IntegerRange range ->
                    value.isIntegralNumber()
                            && value.canConvertToLong()
                            && value.longValue() >= range.min()
                            && value.longValue() <= range.max();
            case FieldType.NumberRange range ->
                    value.isNumber()
                            && value.doubleValue() >= range.min()
                            && value.doubleValue() <= range.max();
            case FieldType.Bool bool -> value.isBoolean();
            case FieldType.Choice choice ->
                    value.isTextual() && choice.values().contains(value.textValue());
            case FieldType.HttpUrl url -> isText(value) && isHttpUrl(value.textValue());
            case FieldType.HostPort hostPort ->
                    isText(value) && HostPorts.parse(value.textValue()).isPresent();
            case FieldType.KeyHash hash ->
                    value.isTextual() && KEY_HASH.matcher(value.textValue()).matches();
            case FieldType.TimeOfDay time -> value.isTextual() && isTimeOfDay(value.textValue());
            case FieldType.TimeZone zone -> value.isTextual() && isTimeZone(value.textValue());
            case FieldType.ListOf list -> value.isArray();
            case FieldType.Group group -> value.isObject();
            case FieldType.MapOf map -> value.isObject();
            case FieldType.TreeOf tree -> value.isObject();
        };
    }

    private static boolean isText(JsonNode value) {
        return value.isTextual()
                && !value.textValue().isBlank()
                && value.textValue().length() <= MAX_TEXT_LENGTH;
    }

    private static boolean isHttpUrl(String text) {
        try {
            URI uri = new URI(text);
            return ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                    && uri.getHost() != null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private static boolean isTimeOfDay(String text) {
        try {
            LocalTime.parse(text);
            return true;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private static boolean isTimeZone(String text) {
        try {
            ZoneId.of(text);
            return true;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private void checkList(FieldType.ListOf list, JsonNode value, String path) {
        if (!value.isArray()) {
            problems.add(Problem.of(path, value, list.allowed()));
            return;
        }
        for (int i = 0; i < value.size(); i++) {
            check(list.element(), value.get(i), path + "/" + i, Completeness.COMPLETE);
        }
    }

    private void checkMap(
            FieldType.MapOf map, JsonNode value, String path, Completeness completeness) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, map.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            String child = JsonText.childPointer(path, entry.getKey());
            if (checkName(entry.getKey(), map.keyKind(), child)) {
                check(map.value(), entry.getValue(), child, completeness);
            }
        }
    }

    private boolean checkName(String name, String keyKind, String path) {
        if (name.isBlank() || name.length() > MAX_TEXT_LENGTH) {
            problems.add(
                    Problem.of(
                            path,
                            name,
                            "a " + keyKind + " name of 1 to " + MAX_TEXT_LENGTH + " characters"));
            return false;
        }
        return true;
    }

    private void checkGroup(
            FieldType.Group group, JsonNode value, String path, Completeness completeness) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, group.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            Field field = group.field(entry.getKey());
            String child = JsonText.childPointer(path, entry.getKey());
            if (field == null) {
                problems.add(Problem.unknownName(child, entry.getKey(), group.fieldNames()));
                continue;
            }
            check(field.type(), entry.getValue(), child, completeness);
        }
        if (completeness == Completeness.COMPLETE) {
            checkRequiredFields(group, value, path);
        }
    }

    /** Reports each required field of {@code group} that is missing from {@code value}. */
    void checkRequiredFields(FieldType.Group group, JsonNode value, String path) {
        for (Field field : group.fields()) {
            if (field.presence() == Field.Presence.REQUIRED && !value.hasNonNull(field.name())) {
                problems.add(
                        Problem.missing(
                                JsonText.childPointer(path, field.name()), field.type().allowed()));
            }
        }
    }

    private void checkTree(FieldType.TreeOf tree, JsonNode value, String path) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, tree.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            String child = JsonText.childPointer(path, entry.getKey());
            switch (entry.getKey()) {
                case FieldType.TreeOf.DEFAULTS ->
                        check(tree.item(), entry.getValue(), child, Completeness.PARTIAL);
                case FieldType.TreeOf.BRANCHES ->
                        checkMap(
                                new FieldType.MapOf("branch", tree),
                                entry.getValue(),
                                child,
                                Completeness.COMPLETE);
                case FieldType.TreeOf.ITEMS ->
                        checkMap(
                                new FieldType.MapOf(tree.keyKind(), tree.item()),
                                entry.getValue(),
                                child,
                                Completeness.PARTIAL);
                default ->
                        problems.add(
                                Problem.unknownName(child, entry.getKey(), FieldType.TreeOf.PARTS));
            }
        }
    }
}

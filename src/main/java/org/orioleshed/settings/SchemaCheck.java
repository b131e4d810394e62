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

/** Checks JSON against the schema and collects every problem. */
final class SchemaCheck {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_TEXT_LENGTH = 200;

    /** Whether an object may leave out what is required, since it inherits the rest. */
    enum Extent {
        WHOLE,
        PARTIAL
    }

    private final List<Problem> problems;

    SchemaCheck(List<Problem> problems) {
        this.problems = problems;
    }

    /** Checks {@code value} at {@code path}. */
    void check(FieldType type, JsonNode value, String path, Extent extent) {
        if (value.isNull() && extent == Extent.PARTIAL) {
            return;
        }
        switch (type) {
            case FieldType.ListOf list -> checkList(list, value, path);
            case FieldType.Group group -> checkGroup(group, value, path, extent);
            case FieldType.MapOf map -> checkMap(map, value, path, extent);
            case FieldType.TreeOf tree -> checkTree(tree, value, path);
            default -> checkScalar(type, value, path);
        }
    }

    private void checkScalar(FieldType type, JsonNode value, String path) {
        if (!fits(type, value)) {
            Optional<String> nearest =
                    type instanceof FieldType.Choice choice
                            ? NearestName.of(value.asText(), choice.words())
                            : Optional.empty();
            problems.add(new Problem(path, value.toString(), type.allowed(), nearest));
        }
    }

    private static boolean fits(FieldType type, JsonNode value) {
        return switch (type) {
            case FieldType.Text text -> isText(value);
            case FieldType.Whole whole ->
                    value.isIntegralNumber()
                            && value.canConvertToLong()
                            && value.longValue() >= whole.min()
                            && value.longValue() <= whole.max();
            case FieldType.Fraction fraction ->
                    value.isNumber()
                            && value.doubleValue() >= fraction.min()
                            && value.doubleValue() <= fraction.max();
            case FieldType.Flag flag -> value.isBoolean();
            case FieldType.Choice choice ->
                    value.isTextual() && choice.words().contains(value.textValue());
            case FieldType.HttpAddress address -> isText(value) && isHttp(value.textValue());
            case FieldType.HostPort port ->
                    isText(value) && HostPorts.parse(value.textValue()).isPresent();
            case FieldType.KeyHash hash ->
                    value.isTextual() && KEY_HASH.matcher(value.textValue()).matches();
            case FieldType.TimeOfDay time -> value.isTextual() && isTime(value.textValue());
            case FieldType.Zone zone -> value.isTextual() && isZone(value.textValue());
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

    private static boolean isHttp(String text) {
        try {
            URI uri = new URI(text);
            return ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                    && uri.getHost() != null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private static boolean isTime(String text) {
        try {
            LocalTime.parse(text);
            return true;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private static boolean isZone(String text) {
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
            check(list.element(), value.get(i), path + "/" + i, Extent.WHOLE);
        }
    }

    private void checkMap(FieldType.MapOf map, JsonNode value, String path, Extent extent) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, map.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            String below = JsonText.below(path, entry.getKey());
            if (checkName(entry.getKey(), map.nameOf(), below)) {
                check(map.value(), entry.getValue(), below, extent);
            }
        }
    }

    private boolean checkName(String name, String nameOf, String path) {
        if (name.isBlank() || name.length() > MAX_TEXT_LENGTH) {
            problems.add(Problem.of(path, name, "a " + nameOf + " of 1 to 200 characters"));
            return false;
        }
        return true;
    }

    private void checkGroup(FieldType.Group group, JsonNode value, String path, Extent extent) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, group.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            Field field = group.field(entry.getKey());
            String below = JsonText.below(path, entry.getKey());
            if (field == null) {
                problems.add(Problem.unknownName(below, entry.getKey(), group.names()));
                continue;
            }
            check(field.type(), entry.getValue(), below, extent);
        }
        if (extent == Extent.WHOLE) {
            checkNothingMissing(group, value, path);
        }
    }

    /** Reports each required field of {@code group} that {@code value} lacks. */
    void checkNothingMissing(FieldType.Group group, JsonNode value, String path) {
        for (Field field : group.fields()) {
            if (field.need() == Field.Need.REQUIRED && !value.hasNonNull(field.name())) {
                problems.add(
                        Problem.missing(
                                JsonText.below(path, field.name()), field.type().allowed()));
            }
        }
    }

    private void checkTree(FieldType.TreeOf tree, JsonNode value, String path) {
        if (!value.isObject()) {
            problems.add(Problem.of(path, value, tree.allowed()));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            String below = JsonText.below(path, entry.getKey());
            switch (entry.getKey()) {
                case FieldType.TreeOf.DEFAULTS ->
                        check(tree.item(), entry.getValue(), below, Extent.PARTIAL);
                case FieldType.TreeOf.BRANCHES ->
                        checkMap(
                                new FieldType.MapOf("branch", tree),
                                entry.getValue(),
                                below,
                                Extent.WHOLE);
                case FieldType.TreeOf.ITEMS ->
                        checkMap(
                                new FieldType.MapOf(tree.nameOf(), tree.item()),
                                entry.getValue(),
                                below,
                                Extent.PARTIAL);
                default ->
                        problems.add(
                                Problem.unknownName(below, entry.getKey(), FieldType.TreeOf.PARTS));
            }
        }
    }
}

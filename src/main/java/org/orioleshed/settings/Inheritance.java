package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.TreeOf;

/** Works out what each item of a tree holds once all it inherits is laid below it. */
final class Inheritance {
    /**
     * An item with all that it inherits.
     *
     * @param path where the item stands in the document
     * @param id the item's name
     * @param values its own and inherited fields
     */
    record Resolved(String path, String id, ObjectNode values) {}

    private final ObjectNode defaults;
    private final List<Problem> problems;
    private final List<Resolved> items = new ArrayList<>();
    private final Map<String, String> pathById = new HashMap<>();

    private Inheritance(ObjectNode defaults, List<Problem> problems) {
        this.defaults = defaults;
        this.problems = problems;
    }

    /** Returns the items of {@code tree}, in the order of the document. */
    static List<Resolved> resolve(TreeOf type, JsonNode tree, String path, List<Problem> problems) {
        ObjectNode defaults = defaults(type.item());
        Inheritance inheritance = new Inheritance(defaults, problems);
        inheritance.walk(tree, path, defaults);
        return inheritance.items;
    }

    /** Returns the defaults that the schema states for {@code group}. */
    static ObjectNode defaults(Group group) {
        ObjectNode defaults = JsonNodeFactory.instance.objectNode();
        for (Field field : group.fields()) {
            field.fallback().ifPresent(value -> defaults.set(field.name(), value));
        }
        return defaults;
    }

    /** Returns {@code values} with the schema's default for each field that is not stated. */
    static ObjectNode withDefaults(Group group, ObjectNode values) {
        ObjectNode whole = defaults(group);
        whole.setAll(values);
        return whole;
    }

    /**
     * Returns {@code upper} laid over {@code lower}: objects are merged, null takes a value away,
     * all else replaces. Neither argument is changed; parts of them are shared.
     */
    static ObjectNode overlay(ObjectNode lower, ObjectNode upper) {
        ObjectNode merged = JsonNodeFactory.instance.objectNode();
        merged.setAll(lower);
        for (Map.Entry<String, JsonNode> entry : upper.properties()) {
            JsonNode value = entry.getValue();
            if (value.isNull()) {
                merged.remove(entry.getKey());
                continue;
            }
            if (value instanceof ObjectNode own) {
                value = overlay(objectAt(lower, entry.getKey()), own);
            }
            merged.set(entry.getKey(), value);
        }
        return merged;
    }

    private static ObjectNode objectAt(ObjectNode values, String name) {
        return values.get(name) instanceof ObjectNode object
                ? object
                : JsonNodeFactory.instance.objectNode();
    }

    private void walk(JsonNode node, String path, ObjectNode inherited) {
        ObjectNode base =
                node.get(TreeOf.DEFAULTS) instanceof ObjectNode own
                        ? overlay(inherited, own)
                        : inherited;
        String branches = JsonText.below(path, TreeOf.BRANCHES);
        for (Map.Entry<String, JsonNode> branch : node.path(TreeOf.BRANCHES).properties()) {
            walk(branch.getValue(), JsonText.below(branches, branch.getKey()), base);
        }
        String itemsPath = JsonText.below(path, TreeOf.ITEMS);
        for (Map.Entry<String, JsonNode> item : node.path(TreeOf.ITEMS).properties()) {
            if (item.getValue() instanceof ObjectNode own) {
                ObjectNode values = overlay(base, own);
                fillIn(values);
                add(JsonText.below(itemsPath, item.getKey()), item.getKey(), values);
            }
        }
    }

    /** Adds the schema's default for each field that was taken away. */
    private void fillIn(ObjectNode values) {
        for (Map.Entry<String, JsonNode> fallback : defaults.properties()) {
            if (!values.has(fallback.getKey())) {
                values.set(fallback.getKey(), fallback.getValue());
            }
        }
    }

    private void add(String path, String id, ObjectNode values) {
        String earlier = pathById.putIfAbsent(id, path);
        if (earlier != null) {
            problems.add(Problem.of(path, id, "one place only: stated before at " + earlier));
            return;
        }
        items.add(new Resolved(path, id, values));
    }
}

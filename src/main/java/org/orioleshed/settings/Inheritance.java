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

/** Resolves the items of a tree by merging inherited values into them. */
final class Inheritance {
    /**
     * An item merged with its inherited values.
     *
     * @param path the item's JSON pointer in the document
     * @param id the item's name
     * @param values the item's own and inherited fields
     */
    record ResolvedItem(String path, String id, ObjectNode values) {}

    private final ObjectNode defaults;
    private final List<Problem> problems;
    private final List<ResolvedItem> items = new ArrayList<>();
    private final Map<String, String> pathById = new HashMap<>();

    private Inheritance(ObjectNode defaults, List<Problem> problems) {
        this.defaults = defaults;
        this.problems = problems;
    }

    /**
     * Returns the resolved items of {@code tree}: those of its branches, in the order of the
     * document, before its own.
     */
    static List<ResolvedItem> resolve(
            TreeOf type, JsonNode tree, String path, List<Problem> problems) {
        ObjectNode defaults = defaults(type.item());
        Inheritance inheritance = new Inheritance(defaults, problems);
        inheritance.resolveBranch(tree, path, defaults);
        return inheritance.items;
    }

    /** Returns the default values that the schema defines for {@code group}. */
    static ObjectNode defaults(Group group) {
        ObjectNode defaults = JsonNodeFactory.instance.objectNode();
        for (Field field : group.fields()) {
            field.defaultValue().ifPresent(value -> defaults.set(field.name(), value));
        }
        return defaults;
    }

    /** Returns {@code values} with the schema's default for each field that is not set. */
    static ObjectNode withDefaults(Group group, ObjectNode values) {
        ObjectNode complete = defaults(group);
        complete.setAll(values);
        return complete;
    }

    /**
     * Returns {@code base} overridden by {@code override}: objects are merged recursively, null
     * removes an inherited value, any other value replaces it. The arguments are not modified; the
     * result shares parts of them.
     */
    static ObjectNode merge(ObjectNode base, ObjectNode override) {
        ObjectNode merged = JsonNodeFactory.instance.objectNode();
        merged.setAll(base);
        for (Map.Entry<String, JsonNode> entry : override.properties()) {
            JsonNode value = entry.getValue();
            if (value.isNull()) {
                merged.remove(entry.getKey());
                continue;
            }
            if (value instanceof ObjectNode object) {
                value = merge(objectOrEmpty(base, entry.getKey()), object);
            }
            merged.set(entry.getKey(), value);
        }
        return merged;
    }

    private static ObjectNode objectOrEmpty(ObjectNode values, String name) {
        return values.get(name) instanceof ObjectNode object
                ? object
                : JsonNodeFactory.instance.objectNode();
    }

    private void resolveBranch(JsonNode node, String path, ObjectNode inherited) {
        ObjectNode base =
                node.get(TreeOf.DEFAULTS) instanceof ObjectNode own
                        ? merge(inherited, own)
                        : inherited;
        String branches = JsonText.childPointer(path, TreeOf.BRANCHES);
        for (Map.Entry<String, JsonNode> branch : node.path(TreeOf.BRANCHES).properties()) {
            resolveBranch(
                    branch.getValue(), JsonText.childPointer(branches, branch.getKey()), base);
        }
        String itemsPath = JsonText.childPointer(path, TreeOf.ITEMS);
        for (Map.Entry<String, JsonNode> item : node.path(TreeOf.ITEMS).properties()) {
            if (item.getValue() instanceof ObjectNode own) {
                ObjectNode values = merge(base, own);
                addDefaults(values);
                add(JsonText.childPointer(itemsPath, item.getKey()), item.getKey(), values);
            }
        }
    }

    /** Adds the schema's default for each field that a null removed. */
    private void addDefaults(ObjectNode values) {
        for (Map.Entry<String, JsonNode> entry : defaults.properties()) {
            if (!values.has(entry.getKey())) {
                values.set(entry.getKey(), entry.getValue());
            }
        }
    }

    private void add(String path, String id, ObjectNode values) {
        String earlier = pathById.putIfAbsent(id, path);
        if (earlier != null) {
            problems.add(
                    Problem.of(path, id, "an id defined only once, already defined at " + earlier));
            return;
        }
        items.add(new ResolvedItem(path, id, values));
    }
}

package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Looks one value of an item up by walking the tree each time. */
final class NaiveResolver {
    private NaiveResolver() {}

    /** Returns the value of a field that is no object, for one item; empty when none is stated. */
    static Optional<JsonNode> lookUp(JsonNode tree, String item, String field) {
        JsonNode own = tree.path("items").get(item);
        if (own != null) {
            return own.has(field) ? stated(own.get(field)) : stated(defaultOf(tree, field));
        }
        for (JsonNode branch : tree.path("branches")) {
            if (!holds(branch, item)) {
                continue;
            }
            return nearest(tree, item, field);
        }
        return Optional.empty();
    }

    private static Optional<JsonNode> nearest(JsonNode tree, String item, String field) {
        for (JsonNode branch : tree.path("branches")) {
            if (holds(branch, item)) {
                JsonNode found = statedBelow(branch, item, field);
                return stated(found == null ? defaultOf(tree, field) : found);
            }
        }
        return Optional.empty();
    }

    /** Returns what the branch or anything below it on the way to the item states, or null. */
    private static JsonNode statedBelow(JsonNode branch, String item, String field) {
        JsonNode own = branch.path("items").get(item);
        if (own != null && own.has(field)) {
            return own.get(field);
        }
        for (JsonNode below : branch.path("branches")) {
            if (holds(below, item)) {
                JsonNode found = statedBelow(below, item, field);
                if (found != null) {
                    return found;
                }
            }
        }
        return defaultOf(branch, field);
    }

    private static JsonNode defaultOf(JsonNode branch, String field) {
        return branch.path("defaults").get(field);
    }

    private static boolean holds(JsonNode branch, String item) {
        if (branch.path("items").has(item)) {
            return true;
        }
        for (JsonNode below : branch.path("branches")) {
            if (holds(below, item)) {
                return true;
            }
        }
        return false;
    }

    private static Optional<JsonNode> stated(JsonNode value) {
        return value == null || value.isNull() ? Optional.empty() : Optional.of(value);
    }
}

package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reference implementation of inheritance that searches the tree for each lookup. */
final class NaiveResolver {
    private NaiveResolver() {}

    /** Returns the value of a non-object field of one item; empty if it is not set. */
    static Optional<JsonNode> lookup(JsonNode tree, String item, String field) {
        JsonNode own = tree.path("items").get(item);
        if (own != null) {
            return own.has(field) ? nonNull(own.get(field)) : nonNull(defaultValue(tree, field));
        }
        for (JsonNode branch : tree.path("branches")) {
            if (!containsItem(branch, item)) {
                continue;
            }
            return lookupInBranches(tree, item, field);
        }
        return Optional.empty();
    }

    private static Optional<JsonNode> lookupInBranches(JsonNode tree, String item, String field) {
        for (JsonNode branch : tree.path("branches")) {
            if (containsItem(branch, item)) {
                JsonNode found = findInBranch(branch, item, field);
                return nonNull(found == null ? defaultValue(tree, field) : found);
            }
        }
        return Optional.empty();
    }

    /** Returns the value closest to the item, from the item up to this branch; null if not set. */
    private static JsonNode findInBranch(JsonNode branch, String item, String field) {
        JsonNode own = branch.path("items").get(item);
        if (own != null && own.has(field)) {
            return own.get(field);
        }
        for (JsonNode below : branch.path("branches")) {
            if (containsItem(below, item)) {
                JsonNode found = findInBranch(below, item, field);
                if (found != null) {
                    return found;
                }
            }
        }
        return defaultValue(branch, field);
    }

    private static JsonNode defaultValue(JsonNode branch, String field) {
        return branch.path("defaults").get(field);
    }

    private static boolean containsItem(JsonNode branch, String item) {
        if (branch.path("items").has(item)) {
            return true;
        }
        for (JsonNode below : branch.path("branches")) {
            if (containsItem(below, item)) {
                return true;
            }
        }
        return false;
    }

    private static Optional<JsonNode> nonNull(JsonNode value) {
        return value == null || value.isNull() ? Optional.empty() : Optional.of(value);
    }
}

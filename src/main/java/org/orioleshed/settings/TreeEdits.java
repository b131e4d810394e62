package org.orioleshed.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Applies edits to a tree's document. */
final class TreeEdits {
    private TreeEdits() {}

    /**
     * Returns {@code tree} with all edits applied, or reports those that can't be. The argument is
     * not changed; what no edit touches is shared with it.
     */
    static ObjectNode applied(ObjectNode tree, List<SettingsEdit> edits, List<Problem> problems) {
        ObjectNode edited = JsonText.copy(tree);
        for (SettingsEdit edit : edits) {
            apply(edited, edit, problems);
        }
        return edited;
    }

    private static void apply(ObjectNode tree, SettingsEdit edit, List<Problem> problems) {
        List<String> names = names(edit.path());
        if (names.isEmpty()) {
            problems.add(Problem.of(edit.path(), "", "the path of a setting, such as /limits"));
            return;
        }
        ObjectNode parent = parent(tree, names, edit, problems);
        if (parent == null) {
            return;
        }
        String last = names.getLast();
        if (edit.json().isEmpty()) {
            if (parent.remove(last) == null) {
                problems.add(missing(edit.path(), last, parent));
            }
            return;
        }
        try {
            JsonNode value = JsonText.parseValue(edit.json().get());
            parent.set(last, value);
        } catch (JsonProcessingException e) {
            String allowed = "a value as JSON: " + e.getOriginalMessage();
            problems.add(Problem.of(edit.path(), edit.json().get(), allowed));
        }
    }

    /** Returns the object that holds the edited value, with a copy of each object on the way. */
    private static ObjectNode parent(
            ObjectNode tree, List<String> names, SettingsEdit edit, List<Problem> problems) {
        ObjectNode node = tree;
        for (String name : names.subList(0, names.size() - 1)) {
            JsonNode below = node.get(name);
            if (below == null && edit.json().isPresent()) {
                below = node.putObject(name);
            }
            if (!(below instanceof ObjectNode object)) {
                problems.add(missing(edit.path(), name, node));
                return null;
            }
            ObjectNode own = JsonText.copy(object);
            node.set(name, own);
            node = own;
        }
        return node;
    }

    private static Problem missing(String path, String name, ObjectNode node) {
        List<String> known =
                StreamSupport.stream(((Iterable<String>) node::fieldNames).spliterator(), false)
                        .collect(Collectors.toCollection(ArrayList::new));
        return Problem.unknownName(path, name, known);
    }

    /** Returns the names in a JSON pointer; a leading slash may be left out. */
    static List<String> names(String path) {
        String bare = path.startsWith("/") ? path.substring(1) : path;
        if (bare.isEmpty()) {
            return List.of();
        }
        return Arrays.stream(bare.split("/", -1))
                .map(name -> name.replace("~1", "/").replace("~0", "~"))
                .toList();
    }
}

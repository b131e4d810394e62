package org.orioleshed.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Applies edits to a settings tree in JSON form. */
final class TreeEdits {
    private TreeEdits() {}

    /**
     * Returns {@code tree} with all edits applied, and reports those that cannot be applied. The
     * argument is not modified; the result shares its unedited parts.
     */
    static ObjectNode applyAll(ObjectNode tree, List<SettingsEdit> edits, List<Problem> problems) {
        ObjectNode edited = JsonText.shallowCopy(tree);
        for (SettingsEdit edit : edits) {
            apply(edited, edit, problems);
        }
        return edited;
    }

    private static void apply(ObjectNode tree, SettingsEdit edit, List<Problem> problems) {
        List<String> tokens = pointerTokens(edit.path());
        if (tokens.isEmpty()) {
            problems.add(
                    Problem.of(edit.path(), "", "a JSON pointer to a setting, such as /limits"));
            return;
        }
        ObjectNode parent = parent(tree, tokens, edit, problems);
        if (parent == null) {
            return;
        }
        String last = tokens.getLast();
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
            String allowed = "a valid JSON value: " + e.getOriginalMessage();
            problems.add(Problem.of(edit.path(), edit.json().get(), allowed));
        }
    }

    /** Returns the parent object of the edited value, after copying each object on the path. */
    private static ObjectNode parent(
            ObjectNode tree, List<String> tokens, SettingsEdit edit, List<Problem> problems) {
        ObjectNode node = tree;
        for (String token : tokens.subList(0, tokens.size() - 1)) {
            JsonNode child = node.get(token);
            if (child == null && edit.json().isPresent()) {
                child = node.putObject(token);
            }
            if (!(child instanceof ObjectNode object)) {
                problems.add(missing(edit.path(), token, node));
                return null;
            }
            ObjectNode copy = JsonText.shallowCopy(object);
            node.set(token, copy);
            node = copy;
        }
        return node;
    }

    private static Problem missing(String path, String name, ObjectNode node) {
        List<String> known =
                StreamSupport.stream(((Iterable<String>) node::fieldNames).spliterator(), false)
                        .collect(Collectors.toCollection(ArrayList::new));
        return Problem.unknownName(path, name, known);
    }

    /** Returns the unescaped reference tokens of a JSON pointer; the leading slash is optional. */
    static List<String> pointerTokens(String path) {
        String relative = path.startsWith("/") ? path.substring(1) : path;
        if (relative.isEmpty()) {
            return List.of();
        }
        return Arrays.stream(relative.split("/", -1))
                .map(token -> token.replace("~1", "/").replace("~0", "~"))
                .toList();
    }
}

package org.orioleshed.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;

/**
 * The stored form of the settings: the tree as written by operators, its revision number and the
 * latest changes. A stored value of plain JSON is a tree without changes, with revision one.
 */
public final class SettingsDocument {
    /** The maximum number of retained changes. */
    static final int MAX_CHANGES = 50;

    /** The maximum size of a value in the store, in bytes. */
    static final int MAX_BYTES = 1_000_000;

    private static final int MAX_HISTORY_CHARACTERS = 64_000;
    private static final String PLAIN_ID_PREFIX = "plain-";

    private final long number;
    private final List<SettingsChange> changes;
    private final ObjectNode tree;

    private SettingsDocument(long number, List<SettingsChange> changes, ObjectNode tree) {
        this.number = number;
        this.changes = List.copyOf(changes);
        this.tree = tree;
    }

    /** The result of decoding a value or applying a change. */
    sealed interface Result {
        /** The document is readable. Its tree has not been validated. */
        record Read(SettingsDocument document) implements Result {}

        /** The value cannot be read, or the change cannot be applied. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Decodes a stored value, either plain JSON or compressed. */
    static Result decode(Payload value) {
        List<Problem> problems = new ArrayList<>();
        Optional<String> text = CompressedText.decompress(value);
        if (text.isEmpty()) {
            return new Result.Problems(
                    List.of(Problem.of("", value, "settings in compressed form")));
        }
        ObjectNode root = JsonText.parseObject(text.get(), problems);
        if (root == null) {
            return new Result.Problems(problems);
        }
        if (!root.has("number")) {
            return new Result.Read(fromPlainTree(root));
        }
        return parse(root);
    }

    private static SettingsDocument fromPlainTree(ObjectNode tree) {
        String digest =
                Hashing.murmur3_128()
                        .hashString(tree.toString(), StandardCharsets.UTF_8)
                        .toString();
        SettingsChange first =
                new SettingsChange(
                        1, PLAIN_ID_PREFIX + digest, "", "written as plain JSON", 0, List.of());
        return new SettingsDocument(1, List.of(first), tree);
    }

    private static Result parse(ObjectNode root) {
        List<SettingsChange> changes = new ArrayList<>();
        for (JsonNode change : root.path("changes")) {
            changes.add(parseChange(change));
        }
        long number = root.path("number").asLong();
        boolean consistent = !changes.isEmpty() && changes.getLast().number() == number;
        if (!consistent || !(root.get("tree") instanceof ObjectNode tree)) {
            return new Result.Problems(
                    List.of(
                            Problem.of(
                                    "",
                                    "",
                                    "an object with number, changes and tree; the last change must"
                                            + " have that number")));
        }
        return new Result.Read(new SettingsDocument(number, changes, tree));
    }

    /** Returns the compressed value for the store. */
    Payload encode() {
        return CompressedText.compress(toJsonText());
    }

    private String toJsonText() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("number", number);
        ArrayNode changeNodes = root.putArray("changes");
        changes.forEach(change -> changeNodes.add(changeToJson(change)));
        root.set("tree", tree);
        return root.toString();
    }

    /** Returns a digest of the document, to verify that hosts applied a change identically. */
    long digest() {
        return Hashing.murmur3_128().hashString(toJsonText(), StandardCharsets.UTF_8).asLong();
    }

    /** Returns the revision number. */
    public long number() {
        return number;
    }

    /** Returns the id of the change that created this revision. */
    public String changeId() {
        return changes.getLast().id();
    }

    /** Returns the latest changes, oldest first. */
    public List<SettingsChange> changes() {
        return changes;
    }

    /** Returns the value at a JSON pointer as JSON; empty if it is not set. */
    public Optional<String> valueAt(String path) {
        JsonNode node = tree;
        for (String name : TreeEdits.pointerTokens(path)) {
            node = node.path(name);
        }
        return prettyPrint(node);
    }

    /**
     * Returns the effective value at a JSON pointer as JSON, including inherited values and
     * defaults; empty if there is none.
     */
    public Optional<String> effectiveAt(String path) {
        for (Inheritance.ResolvedItem item : TreeBuilder.resolvedItems(tree)) {
            if (path.equals(item.path()) || path.startsWith(item.path() + "/")) {
                String rest = path.substring(item.path().length());
                return prettyPrint(item.values().at(rest));
            }
        }
        return prettyPrint(Inheritance.withDefaults(Schema.TREE, tree).at(path));
    }

    private static Optional<String> prettyPrint(JsonNode node) {
        return node.isMissingNode() ? Optional.empty() : Optional.of(node.toPrettyString());
    }

    /** Returns the number of the change with {@code id}; empty if it is not retained. */
    public Optional<Long> numberOf(String id) {
        return changes.stream()
                .filter(change -> change.id().equals(id))
                .map(SettingsChange::number)
                .findFirst();
    }

    /** Returns the changes after revision {@code after}; empty if they are no longer retained. */
    public Optional<List<SettingsChange>> changesAfter(long after) {
        if (after < changes.getFirst().number()) {
            return Optional.empty();
        }
        return Optional.of(changes.stream().filter(c -> c.number() > after).toList());
    }

    /**
     * Returns whether this revision descends from revision {@code otherNumber}, created by change
     * {@code otherId}. Revisions older than the retained changes count as ancestors.
     */
    boolean descendsFrom(long otherNumber, String otherId) {
        if (otherNumber > number) {
            return false;
        }
        if (otherNumber < changes.getFirst().number()) {
            return true;
        }
        return numberOf(otherId).filter(found -> found == otherNumber).isPresent();
    }

    /** Validates and resolves the complete tree. */
    SettingsTree.Result check() {
        return SettingsTree.of(tree);
    }

    /**
     * Validates and resolves the tree incrementally. The result is the same as that of {@link
     * #check}.
     *
     * @param previous a valid document
     * @param previousTree the result of checking {@code previous}
     */
    SettingsTree.Result checkAfter(SettingsDocument previous, SettingsTree previousTree) {
        Optional<SettingsTree> resolved =
                new IncrementalResolver(previous.tree, previousTree, tree).resolve();
        // Problems are reported in document order, which requires a check of the complete tree.
        return resolved.<SettingsTree.Result>map(SettingsTree.Result.Loaded::new)
                .orElseGet(this::check);
    }

    /** Returns the problems of the tree after {@code edits}; empty if the edits are valid. */
    public List<Problem> problemsWith(List<SettingsEdit> edits) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode edited = TreeEdits.applyAll(tree, edits, problems);
        if (!problems.isEmpty()) {
            return problems;
        }
        return switch (SettingsTree.of(edited)) {
            case SettingsTree.Result.Loaded loaded -> List.of();
            case SettingsTree.Result.Problems found -> found.problems();
        };
    }

    /** Returns this document with one more change, or the problems in applying it. */
    Result with(SettingsChange change) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode edited = TreeEdits.applyAll(tree, change.edits(), problems);
        if (!problems.isEmpty()) {
            return new Result.Problems(problems);
        }
        List<SettingsChange> retained = new ArrayList<>(changes);
        retained.add(change);
        return new Result.Read(
                new SettingsDocument(change.number(), truncateHistory(retained), edited));
    }

    private static List<SettingsChange> truncateHistory(List<SettingsChange> changes) {
        int first = Math.max(0, changes.size() - MAX_CHANGES);
        int historyCharacters = 0;
        for (int i = changes.size() - 1; i > first; i--) {
            historyCharacters += changeToJson(changes.get(i)).toString().length();
            if (historyCharacters > MAX_HISTORY_CHARACTERS) {
                first = Math.min(i + 1, changes.size() - 1);
            }
        }
        return changes.subList(first, changes.size());
    }

    private static SettingsChange parseChange(JsonNode node) {
        List<SettingsEdit> edits = new ArrayList<>();
        for (JsonNode edit : node.path("edits")) {
            Optional<String> json = Optional.ofNullable(edit.get("value")).map(JsonNode::toString);
            edits.add(new SettingsEdit(edit.path("path").asText(), json));
        }
        return new SettingsChange(
                node.path("number").asLong(),
                node.path("id").asText(),
                node.path("author").asText(),
                node.path("reason").asText(),
                node.path("atMillis").asLong(),
                edits);
    }

    private static ObjectNode changeToJson(SettingsChange change) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("number", change.number())
                .put("id", change.id())
                .put("author", change.author())
                .put("reason", change.reason())
                .put("atMillis", change.atMillis());
        ArrayNode edits = node.putArray("edits");
        for (SettingsEdit edit : change.edits()) {
            ObjectNode editNode = edits.addObject().put("path", edit.path());
            edit.json().ifPresent(json -> editNode.set("value", parseEditValue(json)));
        }
        return node;
    }

    private static JsonNode parseEditValue(String json) {
        try {
            return JsonText.parseValue(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an applied edit is not valid JSON: " + json, e);
        }
    }
}

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
 * What the store holds of the settings: the tree as operators wrote it, its revision number, and
 * the latest changes. A value that is plain JSON is a tree that no change was made to yet.
 */
public final class SettingsDocument {
    /** The most changes that are kept. */
    static final int MAX_CHANGES = 50;

    /** The largest value that the store takes, in bytes. */
    static final int MAX_BYTES = 1_000_000;

    private static final int MAX_HISTORY_CHARACTERS = 64_000;
    private static final String PLAIN_ID = "plain-";

    private final long number;
    private final List<SettingsChange> changes;
    private final ObjectNode tree;

    private SettingsDocument(long number, List<SettingsChange> changes, ObjectNode tree) {
        this.number = number;
        this.changes = List.copyOf(changes);
        this.tree = tree;
    }

    /** What came of reading a value. */
    sealed interface Result {
        /** The value is a document. */
        record Read(SettingsDocument document) implements Result {}

        /** The value is none. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Reads a value of the store, plain JSON or packed. */
    static Result decode(Payload value) {
        List<Problem> problems = new ArrayList<>();
        Optional<String> text = PackedText.unpack(value);
        if (text.isEmpty()) {
            return new Result.Problems(List.of(Problem.of("", value, "packed settings")));
        }
        ObjectNode root = JsonText.parseObject(text.get(), problems);
        if (root == null) {
            return new Result.Problems(problems);
        }
        if (!root.has("number")) {
            return new Result.Read(plain(root));
        }
        return read(root);
    }

    private static SettingsDocument plain(ObjectNode tree) {
        String digest =
                Hashing.murmur3_128()
                        .hashString(tree.toString(), StandardCharsets.UTF_8)
                        .toString();
        SettingsChange first =
                new SettingsChange(1, PLAIN_ID + digest, "", "written as plain JSON", 0, List.of());
        return new SettingsDocument(1, List.of(first), tree);
    }

    private static Result read(ObjectNode root) {
        List<SettingsChange> changes = new ArrayList<>();
        for (JsonNode change : root.path("changes")) {
            changes.add(readChange(change));
        }
        long number = root.path("number").asLong();
        boolean whole = !changes.isEmpty() && changes.getLast().number() == number;
        if (!whole || !(root.get("tree") instanceof ObjectNode tree)) {
            return new Result.Problems(List.of(Problem.of("", "", "number, changes and tree")));
        }
        return new Result.Read(new SettingsDocument(number, changes, tree));
    }

    /** Returns the value for the store, packed. */
    Payload encode() {
        return PackedText.pack(text());
    }

    private String text() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("number", number);
        ArrayNode list = root.putArray("changes");
        changes.forEach(change -> list.add(writeChange(change)));
        root.set("tree", tree);
        return root.toString();
    }

    /** Returns a digest of the whole, to check that a change was applied alike. */
    long digest() {
        return Hashing.murmur3_128().hashString(text(), StandardCharsets.UTF_8).asLong();
    }

    /** Returns the revision number. */
    public long number() {
        return number;
    }

    /** Returns the id of the change that made this revision. */
    public String changeId() {
        return changes.getLast().id();
    }

    /** Returns the latest changes, the oldest first. */
    public List<SettingsChange> changes() {
        return changes;
    }

    /** Returns the value at a JSON pointer as JSON; empty when nothing is stated there. */
    public Optional<String> valueAt(String path) {
        JsonNode node = tree;
        for (String name : TreeEdits.names(path)) {
            node = node.path(name);
        }
        return pretty(node);
    }

    /**
     * Returns the value at a JSON pointer as JSON, with all that it inherits and the defaults
     * filled in; empty when there is nothing.
     */
    public Optional<String> effectiveAt(String path) {
        for (Inheritance.Resolved item : TreeBuilder.resolvedItems(tree)) {
            if (path.equals(item.path()) || path.startsWith(item.path() + "/")) {
                String rest = path.substring(item.path().length());
                return pretty(item.values().at(rest));
            }
        }
        return pretty(Inheritance.withDefaults(Schema.TREE, tree).at(path));
    }

    private static Optional<String> pretty(JsonNode node) {
        return node.isMissingNode() ? Optional.empty() : Optional.of(node.toPrettyString());
    }

    /** Returns the number of the change with {@code id}; empty when it is not among the latest. */
    public Optional<Long> numberOf(String id) {
        return changes.stream()
                .filter(change -> change.id().equals(id))
                .map(SettingsChange::number)
                .findFirst();
    }

    /** Returns the changes after revision {@code after}; empty when they are no longer kept. */
    public Optional<List<SettingsChange>> changesAfter(long after) {
        if (after < changes.getFirst().number()) {
            return Optional.empty();
        }
        return Optional.of(changes.stream().filter(c -> c.number() > after).toList());
    }

    /**
     * Returns whether revision {@code otherNumber}, made by change {@code otherId}, lies in this
     * one's past, as far as the kept changes tell.
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

    /** Checks the tree whole. */
    SettingsTree.Result check() {
        return SettingsTree.of(tree);
    }

    /**
     * Checks the tree by what differs from another one; the result is that of {@link #check}.
     *
     * @param before a document without problems
     * @param resolvedBefore what came of checking it
     */
    SettingsTree.Result checkAfter(SettingsDocument before, SettingsTree resolvedBefore) {
        Optional<SettingsTree> resolved =
                new ChangedTree(before.tree, resolvedBefore, tree).resolve();
        // All problems are reported in the order of the document, which only the whole tells.
        return resolved.<SettingsTree.Result>map(SettingsTree.Result.Loaded::new)
                .orElseGet(this::check);
    }

    /**
     * Returns all that would be wrong with the tree after {@code edits}; none when they are valid.
     */
    public List<Problem> problemsWith(List<SettingsEdit> edits) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode edited = TreeEdits.applied(tree, edits, problems);
        if (!problems.isEmpty()) {
            return problems;
        }
        return switch (SettingsTree.of(edited)) {
            case SettingsTree.Result.Loaded loaded -> List.of();
            case SettingsTree.Result.Problems found -> found.problems();
        };
    }

    /** Returns this document with one more change, or all that is wrong with it. */
    Result with(SettingsChange change) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode edited = TreeEdits.applied(tree, change.edits(), problems);
        if (!problems.isEmpty()) {
            return new Result.Problems(problems);
        }
        List<SettingsChange> kept = new ArrayList<>(changes);
        kept.add(change);
        return new Result.Read(new SettingsDocument(change.number(), bounded(kept), edited));
    }

    private static List<SettingsChange> bounded(List<SettingsChange> changes) {
        int first = Math.max(0, changes.size() - MAX_CHANGES);
        int characters = 0;
        for (int i = changes.size() - 1; i > first; i--) {
            characters += writeChange(changes.get(i)).toString().length();
            if (characters > MAX_HISTORY_CHARACTERS) {
                first = Math.min(i + 1, changes.size() - 1);
            }
        }
        return changes.subList(first, changes.size());
    }

    private static SettingsChange readChange(JsonNode node) {
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

    private static ObjectNode writeChange(SettingsChange change) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("number", change.number())
                .put("id", change.id())
                .put("author", change.author())
                .put("reason", change.reason())
                .put("atMillis", change.atMillis());
        ArrayNode edits = node.putArray("edits");
        for (SettingsEdit edit : change.edits()) {
            ObjectNode written = edits.addObject().put("path", edit.path());
            edit.json().ifPresent(json -> written.set("value", parsed(json)));
        }
        return node;
    }

    private static JsonNode parsed(String json) {
        try {
            return JsonText.parseValue(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an edit that was applied is not JSON: " + json, e);
        }
    }
}

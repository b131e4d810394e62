package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.settings.FieldType.TreeOf;

/**
 * A document of the tree that differs a little from one that was checked and resolved before. An
 * item depends on nothing but itself, the branches above it and the tiers. So the items that are
 * alike in both documents, below alike defaults, are taken over as they were resolved; the document
 * without them is checked and resolved as any other.
 */
final class ChangedTree {
    private static final String TIERS = "tiers";
    private static final String SERVERS = "servers";
    private static final String WORKSPACES = "workspaces";

    private final ObjectNode before;
    private final SettingsTree resolvedBefore;
    private final ObjectNode after;

    /**
     * Compares two documents.
     *
     * @param before a document without problems
     * @param resolvedBefore what came of it
     * @param after another document, good or not
     */
    ChangedTree(ObjectNode before, SettingsTree resolvedBefore, ObjectNode after) {
        this.before = before;
        this.resolvedBefore = resolvedBefore;
        this.after = after;
    }

    /** Returns the same as when the later document is resolved whole; empty if it has problems. */
    Optional<SettingsTree> resolve() {
        ObjectNode gone = difference(before, after);
        Set<ServerId> goneServers = ids(gone.path(SERVERS), ServerId::new);
        Set<WorkspaceId> goneWorkspaces = ids(gone.path(WORKSPACES), WorkspaceId::new);
        TreeBuilder builder = new TreeBuilder(difference(after, before));
        builder.shareWith(
                goneServers.stream().map(resolvedBefore.servers()::get).toList(),
                goneWorkspaces.stream().map(resolvedBefore.workspaces()::get).toList());
        if (!(builder.build() instanceof SettingsTree.Result.Loaded part)) {
            return Optional.empty();
        }
        return join(goneServers, goneWorkspaces, part.tree());
    }

    /** Returns what was resolved before, with {@code part} in the place of what is gone. */
    private Optional<SettingsTree> join(
            Set<ServerId> goneServers, Set<WorkspaceId> goneWorkspaces, SettingsTree part) {
        Optional<Map<ServerId, BackendServer>> servers =
                replaced(resolvedBefore.servers(), goneServers, part.servers());
        Optional<Map<WorkspaceId, Workspace>> workspaces =
                replaced(resolvedBefore.workspaces(), goneWorkspaces, part.workspaces());
        boolean good =
                servers.isPresent()
                        && workspaces.isPresent()
                        && !usesKeptKeys(part.workspaces().values(), goneWorkspaces);
        if (!good) {
            return Optional.empty();
        }
        return Optional.of(
                new SettingsTree(
                        part.tiers(),
                        part.routes(),
                        servers.get(),
                        workspaces.get(),
                        part.currentVersions(),
                        part.limits()));
    }

    /** Returns the items with some replaced; empty when a name is then stated in two places. */
    private static <K, V> Optional<Map<K, V>> replaced(Map<K, V> all, Set<K> gone, Map<K, V> more) {
        if (gone.isEmpty() && more.isEmpty()) {
            return Optional.of(all);
        }
        Map<K, V> items = new HashMap<>(all);
        gone.forEach(items::remove);
        for (Map.Entry<K, V> entry : more.entrySet()) {
            if (items.putIfAbsent(entry.getKey(), entry.getValue()) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(items);
    }

    /** Returns whether a new workspace has a key of a workspace that is taken over. */
    private boolean usesKeptKeys(Collection<Workspace> added, Set<WorkspaceId> gone) {
        Set<String> hashes = new HashSet<>();
        added.forEach(workspace -> hashes.addAll(workspace.keyHashes()));
        return !hashes.isEmpty()
                && resolvedBefore.workspaces().values().stream()
                        .filter(workspace -> !gone.contains(workspace.id()))
                        .flatMap(workspace -> workspace.keyHashes().stream())
                        .anyMatch(hashes::contains);
    }

    private static <K> Set<K> ids(JsonNode tree, Function<String, K> id) {
        Set<String> names = new HashSet<>();
        addItemNames(tree, names);
        return names.stream().map(id).collect(Collectors.toSet());
    }

    private static void addItemNames(JsonNode tree, Set<String> names) {
        for (Map.Entry<String, JsonNode> item : tree.path(TreeOf.ITEMS).properties()) {
            if (item.getValue() instanceof ObjectNode) {
                names.add(item.getKey());
            }
        }
        tree.path(TreeOf.BRANCHES).forEach(branch -> addItemNames(branch, names));
    }

    /** Returns {@code document} without the items that hold the same in {@code other}. */
    static ObjectNode difference(ObjectNode document, ObjectNode other) {
        ObjectNode left = JsonText.copy(document);
        leaveDifference(left, other, SERVERS, ChangedTree::branchDifference);
        if (Objects.equals(document.get(TIERS), other.get(TIERS))) {
            leaveDifference(left, other, WORKSPACES, ChangedTree::branchDifference);
        }
        return left;
    }

    /** Cuts one object down to what differs from the other. */
    private interface Cut {
        ObjectNode difference(ObjectNode document, ObjectNode other);
    }

    private static void leaveDifference(ObjectNode left, ObjectNode other, String name, Cut cut) {
        if (left.get(name) instanceof ObjectNode mine
                && other.get(name) instanceof ObjectNode theirs) {
            left.set(name, cut.difference(mine, theirs));
        }
    }

    private static ObjectNode branchDifference(ObjectNode branch, ObjectNode other) {
        if (!Objects.equals(branch.get(TreeOf.DEFAULTS), other.get(TreeOf.DEFAULTS))) {
            return branch;
        }
        ObjectNode left = JsonText.copy(branch);
        leaveDifference(left, other, TreeOf.ITEMS, ChangedTree::itemsDifference);
        leaveDifference(left, other, TreeOf.BRANCHES, ChangedTree::branchesDifference);
        return left;
    }

    private static ObjectNode itemsDifference(ObjectNode items, ObjectNode others) {
        ObjectNode left = JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> item : items.properties()) {
            if (!item.getValue().equals(others.get(item.getKey()))) {
                left.set(item.getKey(), item.getValue());
            }
        }
        return left;
    }

    private static ObjectNode branchesDifference(ObjectNode branches, ObjectNode others) {
        ObjectNode left = itemsDifference(branches, others);
        for (Map.Entry<String, JsonNode> branch : branches.properties()) {
            leaveDifference(left, others, branch.getKey(), ChangedTree::branchDifference);
        }
        return left;
    }
}

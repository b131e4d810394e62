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
        TreeBuilder builder = new TreeBuilder(difference(after, before));
        Set<String> goneServers = itemNames(SERVERS);
        Set<String> goneWorkspaces = itemNames(WORKSPACES);
        builder.shareWith(
                present(goneServers, name -> resolvedBefore.servers().get(new ServerId(name))),
                present(
                        goneWorkspaces,
                        name -> resolvedBefore.workspaces().get(new WorkspaceId(name))));
        if (!(builder.build() instanceof SettingsTree.Result.Loaded part)) {
            return Optional.empty();
        }
        Map<ServerId, BackendServer> servers = new HashMap<>(resolvedBefore.servers());
        goneServers.forEach(name -> servers.remove(new ServerId(name)));
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>(resolvedBefore.workspaces());
        goneWorkspaces.forEach(name -> workspaces.remove(new WorkspaceId(name)));
        boolean shareKeys = shareKeys(part.tree().workspaces().values(), workspaces.values());
        if (shareKeys
                || !addNew(servers, part.tree().servers())
                || !addNew(workspaces, part.tree().workspaces())) {
            return Optional.empty();
        }
        return Optional.of(
                new SettingsTree(
                        part.tree().tiers(),
                        part.tree().routes(),
                        servers,
                        workspaces,
                        part.tree().currentVersions(),
                        part.tree().limits()));
    }

    private static <T> Collection<T> present(Set<String> names, Function<String, T> item) {
        return names.stream().map(item).filter(Objects::nonNull).toList();
    }

    /** Adds all, unless one is there already: its name is stated in two places. */
    private static <K, V> boolean addNew(Map<K, V> all, Map<K, V> more) {
        for (Map.Entry<K, V> entry : more.entrySet()) {
            if (all.putIfAbsent(entry.getKey(), entry.getValue()) != null) {
                return false;
            }
        }
        return true;
    }

    private static boolean shareKeys(Collection<Workspace> few, Collection<Workspace> many) {
        Set<String> hashes = new HashSet<>();
        few.forEach(workspace -> hashes.addAll(workspace.keyHashes()));
        return many.stream().flatMap(w -> w.keyHashes().stream()).anyMatch(hashes::contains);
    }

    /** Returns the names of the earlier document's items that are not taken over. */
    private Set<String> itemNames(String section) {
        Set<String> names = new HashSet<>();
        addItemNames(difference(before, after).path(section), names);
        return names;
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
        ObjectNode left = shallowCopy(document);
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
        ObjectNode left = shallowCopy(branch);
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

    private static ObjectNode shallowCopy(ObjectNode node) {
        ObjectNode copy = JsonNodeFactory.instance.objectNode();
        copy.setAll(node);
        return copy;
    }
}

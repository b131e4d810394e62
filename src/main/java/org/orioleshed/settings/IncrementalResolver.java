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
 * Resolves a settings document incrementally, given an earlier document and its resolved tree. An
 * item depends only on itself, the branches above it and the tiers. Items that are equal in both
 * documents, below equal defaults, are therefore reused as resolved; the remaining document is
 * validated and resolved like any other.
 */
final class IncrementalResolver {
    private static final String TIERS = "tiers";
    private static final String SERVERS = "servers";
    private static final String WORKSPACES = "workspaces";

    private final ObjectNode previous;
    private final SettingsTree previousTree;
    private final ObjectNode current;

    /**
     * Creates a resolver for one pair of documents.
     *
     * @param previous a valid document
     * @param previousTree the result of resolving {@code previous}
     * @param current the document to resolve, valid or not
     */
    IncrementalResolver(ObjectNode previous, SettingsTree previousTree, ObjectNode current) {
        this.previous = previous;
        this.previousTree = previousTree;
        this.current = current;
    }

    /** Returns the same tree as a full resolution of the document; empty if it is invalid. */
    Optional<SettingsTree> resolve() {
        ObjectNode removed = difference(previous, current);
        Set<ServerId> removedServers = ids(removed.path(SERVERS), ServerId::new);
        Set<WorkspaceId> removedWorkspaces = ids(removed.path(WORKSPACES), WorkspaceId::new);
        TreeBuilder builder = new TreeBuilder(difference(current, previous));
        builder.internFrom(
                removedServers.stream().map(previousTree.servers()::get).toList(),
                removedWorkspaces.stream().map(previousTree.workspaces()::get).toList());
        if (!(builder.build() instanceof SettingsTree.Result.Loaded part)) {
            return Optional.empty();
        }
        return join(removedServers, removedWorkspaces, part.tree());
    }

    /** Returns the previous tree with the removed items replaced by those of {@code part}. */
    private Optional<SettingsTree> join(
            Set<ServerId> removedServers, Set<WorkspaceId> removedWorkspaces, SettingsTree part) {
        Optional<Map<ServerId, BackendServer>> servers =
                replace(previousTree.servers(), removedServers, part.servers());
        Optional<Map<WorkspaceId, Workspace>> workspaces =
                replace(previousTree.workspaces(), removedWorkspaces, part.workspaces());
        boolean noDuplicates =
                servers.isPresent()
                        && workspaces.isPresent()
                        && !usesReusedKeys(part.workspaces().values(), removedWorkspaces);
        if (!noDuplicates) {
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

    /**
     * Returns {@code all} without {@code removed} and with {@code added}; empty if an added id is
     * still in use.
     */
    private static <K, V> Optional<Map<K, V>> replace(
            Map<K, V> all, Set<K> removed, Map<K, V> added) {
        if (removed.isEmpty() && added.isEmpty()) {
            return Optional.of(all);
        }
        Map<K, V> items = new HashMap<>(all);
        removed.forEach(items::remove);
        for (Map.Entry<K, V> entry : added.entrySet()) {
            if (items.putIfAbsent(entry.getKey(), entry.getValue()) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(items);
    }

    /** Returns whether an added workspace has a key hash of a reused workspace. */
    private boolean usesReusedKeys(Collection<Workspace> added, Set<WorkspaceId> removed) {
        Set<String> hashes = new HashSet<>();
        added.forEach(workspace -> hashes.addAll(workspace.keyHashes()));
        return !hashes.isEmpty()
                && previousTree.workspaces().values().stream()
                        .filter(workspace -> !removed.contains(workspace.id()))
                        .flatMap(workspace -> workspace.keyHashes().stream())
                        .anyMatch(hashes::contains);
    }

    private static <K> Set<K> ids(JsonNode tree, Function<String, K> newId) {
        Set<String> names = new HashSet<>();
        addItemNames(tree, names);
        return names.stream().map(newId).collect(Collectors.toSet());
    }

    private static void addItemNames(JsonNode tree, Set<String> names) {
        for (Map.Entry<String, JsonNode> item : tree.path(TreeOf.ITEMS).properties()) {
            if (item.getValue() instanceof ObjectNode) {
                names.add(item.getKey());
            }
        }
        tree.path(TreeOf.BRANCHES).forEach(branch -> addItemNames(branch, names));
    }

    /**
     * Returns {@code document} without the items that are equal in {@code other} and inherit equal
     * defaults. Workspaces are compared only if the tiers are equal.
     */
    static ObjectNode difference(ObjectNode document, ObjectNode other) {
        ObjectNode remaining = JsonText.shallowCopy(document);
        retainDifference(remaining, other, SERVERS, IncrementalResolver::branchDifference);
        if (Objects.equals(document.get(TIERS), other.get(TIERS))) {
            retainDifference(remaining, other, WORKSPACES, IncrementalResolver::branchDifference);
        }
        return remaining;
    }

    /** Reduces an object to the part that differs from another one. */
    private interface Difference {
        ObjectNode apply(ObjectNode document, ObjectNode other);
    }

    private static void retainDifference(
            ObjectNode remaining, ObjectNode other, String name, Difference difference) {
        if (remaining.get(name) instanceof ObjectNode value
                && other.get(name) instanceof ObjectNode otherValue) {
            remaining.set(name, difference.apply(value, otherValue));
        }
    }

    private static ObjectNode branchDifference(ObjectNode branch, ObjectNode other) {
        if (!Objects.equals(branch.get(TreeOf.DEFAULTS), other.get(TreeOf.DEFAULTS))) {
            return branch;
        }
        ObjectNode remaining = JsonText.shallowCopy(branch);
        retainDifference(remaining, other, TreeOf.ITEMS, IncrementalResolver::itemsDifference);
        retainDifference(
                remaining, other, TreeOf.BRANCHES, IncrementalResolver::branchesDifference);
        return remaining;
    }

    private static ObjectNode itemsDifference(ObjectNode items, ObjectNode others) {
        ObjectNode remaining = JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> item : items.properties()) {
            if (!item.getValue().equals(others.get(item.getKey()))) {
                remaining.set(item.getKey(), item.getValue());
            }
        }
        return remaining;
    }

    private static ObjectNode branchesDifference(ObjectNode branches, ObjectNode others) {
        ObjectNode remaining = itemsDifference(branches, others);
        for (Map.Entry<String, JsonNode> branch : branches.properties()) {
            retainDifference(
                    remaining, others, branch.getKey(), IncrementalResolver::branchDifference);
        }
        return remaining;
    }
}

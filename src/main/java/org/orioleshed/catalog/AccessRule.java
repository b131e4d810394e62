package org.orioleshed.catalog;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.WorkspaceId;

/** Who may call the routes that are not open. */
public sealed interface AccessRule {
    /** Everybody, without a key: the configuration does not mention workspaces. */
    record Everybody() implements AccessRule {
        @Override
        public Map<WorkspaceId, WorkspaceConfig> workspaces() {
            return Map.of();
        }

        @Override
        public Optional<WorkspaceConfig> holder(String key) {
            return Optional.empty();
        }

        /** Returns the text for the log. */
        @Override
        public String toString() {
            return "keys_required=false workspaces=0 keys=0";
        }
    }

    /**
     * The holders of a key, thus nobody if there are no keys: the configuration lists workspaces,
     * perhaps none.
     *
     * @param keys the workspace of each API key; blank ones are dropped, since an empty header
     *     field would be one
     * @param workspaces all workspaces, by id
     */
    record KeyHolders(Map<String, WorkspaceId> keys, Map<WorkspaceId, WorkspaceConfig> workspaces)
            implements AccessRule {
        /** Copies the maps. */
        public KeyHolders {
            Map<String, WorkspaceId> usable = new HashMap<>(keys);
            usable.keySet().removeIf(String::isBlank);
            keys = Map.copyOf(usable);
            workspaces = Map.copyOf(workspaces);
        }

        @Override
        public Optional<WorkspaceConfig> holder(String key) {
            return Optional.ofNullable(keys.get(key)).map(workspaces::get);
        }

        /** Returns the text for the log, without the keys. */
        @Override
        public String toString() {
            return "keys_required=true workspaces=%d keys=%d"
                    .formatted(workspaces.size(), keys.size());
        }
    }

    /** Returns all workspaces, by id. */
    Map<WorkspaceId, WorkspaceConfig> workspaces();

    /** Returns the workspace of an API key; empty if no workspace holds it. */
    Optional<WorkspaceConfig> holder(String key);
}

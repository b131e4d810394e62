package org.orioleshed.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.settings.BearerKey;

/** Maps bearer keys to workspaces. Stores only the hashes of the keys. */
final class WorkspaceKeys {
    private final Map<String, Workspace> workspacesByHash = new HashMap<>();

    WorkspaceKeys(FleetSnapshot fleet) {
        for (Workspace workspace : fleet.workspaces().values()) {
            workspace.keyHashes().forEach(hash -> workspacesByHash.put(hash, workspace));
        }
    }

    /** Returns the workspace of the key in an {@code Authorization} header. */
    Optional<Workspace> workspace(String authorization) {
        return BearerKey.of(authorization).map(key -> workspacesByHash.get(key.hash()));
    }
}

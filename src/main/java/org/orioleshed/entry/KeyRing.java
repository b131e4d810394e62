package org.orioleshed.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.settings.BearerKey;

/** Finds the workspace of a bearer key. Only hashes are kept. */
final class KeyRing {
    private final Map<String, Workspace> byHash = new HashMap<>();

    KeyRing(FleetSnapshot fleet) {
        for (Workspace workspace : fleet.workspaces().values()) {
            workspace.keyHashes().forEach(hash -> byHash.put(hash, workspace));
        }
    }

    /** Returns the workspace whose key the header carries. */
    Optional<Workspace> workspace(String authorization) {
        return BearerKey.of(authorization).map(key -> byHash.get(key.hash()));
    }
}

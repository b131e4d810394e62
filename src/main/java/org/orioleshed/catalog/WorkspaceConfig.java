package org.orioleshed.catalog;

import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.Region;
import org.orioleshed.model.WorkspaceId;

/**
 * A workspace, as declared by operators.
 *
 * @param workspace the id of the workspace
 * @param priority the rank of the workspace's calls, which overrides the route's; empty to use the
 *     route's
 * @param quota the rate limit
 * @param allowedRegions the regions whose servers may run the workspace's calls; empty for all
 */
public record WorkspaceConfig(
        WorkspaceId workspace,
        Optional<Integer> priority,
        Quota quota,
        Set<Region> allowedRegions) {
    /** Creates a workspace that all regions may serve. */
    public WorkspaceConfig(WorkspaceId workspace, Optional<Integer> priority, Quota quota) {
        this(workspace, priority, quota, Set.of());
    }

    /** Copies the set. */
    public WorkspaceConfig {
        allowedRegions = Set.copyOf(allowedRegions);
    }
}

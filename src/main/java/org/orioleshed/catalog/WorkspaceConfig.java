package org.orioleshed.catalog;

import java.util.Optional;
import org.orioleshed.model.WorkspaceId;

/**
 * A workspace, as declared by operators.
 *
 * @param workspace the id of the workspace
 * @param priority the rank of the workspace's calls, which overrides the route's; empty to use the
 *     route's
 * @param quota the rate limit
 */
public record WorkspaceConfig(WorkspaceId workspace, Optional<Integer> priority, Quota quota) {}

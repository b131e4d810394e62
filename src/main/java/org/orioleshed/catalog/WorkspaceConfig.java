package org.orioleshed.catalog;

import java.util.Optional;
import org.orioleshed.model.WorkspaceId;

/**
 * A workspace, as operators declare it.
 *
 * @param workspace its name
 * @param priority the rank of its calls, which goes before the route's; empty for the route's
 * @param quota what it may use
 */
public record WorkspaceConfig(WorkspaceId workspace, Optional<Integer> priority, Quota quota) {}

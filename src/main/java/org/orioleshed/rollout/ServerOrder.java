package org.orioleshed.rollout;

import org.orioleshed.fleet.Target;
import org.orioleshed.model.VersionId;

/** An order to a backend server. Every order is idempotent. */
public sealed interface ServerOrder {
    /** Load a version. */
    record Load(Target target, VersionId version) implements ServerOrder {}

    /** Unload a version. */
    record Unload(Target target, VersionId version) implements ServerOrder {}

    /** Change the server's role. */
    record ChangeRole(String role) implements ServerOrder {}
}

package org.orioleshed.routing;

import java.time.Instant;
import java.time.LocalTime;
import java.util.OptionalLong;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.PatienceWindow;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.WorkspaceId;

/**
 * The time and the fleet snapshot at which a decision is taken.
 *
 * @param nowNanos the host's monotonic clock
 * @param epochMillis the host's wall clock, empty until it is known
 * @param fleet the fleet
 */
record DecisionContext(long nowNanos, OptionalLong epochMillis, FleetSnapshot fleet) {
    /** Returns the workspace's share against others; one when it is unknown. */
    int weight(WorkspaceId id) {
        Workspace workspace = fleet.workspaces().get(id);
        return workspace == null ? 1 : Math.max(1, workspace.weight());
    }

    /** Returns whether patient work of the workspace may run freely now. */
    boolean inPatienceWindow(WorkspaceId id) {
        Workspace workspace = fleet.workspaces().get(id);
        if (workspace == null || workspace.patience().isEmpty()) {
            return true;
        }
        if (epochMillis.isEmpty()) {
            return false;
        }
        PatienceWindow window = workspace.patience().get();
        Instant instant = Instant.ofEpochMilli(epochMillis.getAsLong());
        return window.contains(LocalTime.ofInstant(instant, window.zone()));
    }

    /** Returns the time from now to {@code nanos}, in milliseconds; negative when it is past. */
    long millisUntil(long nanos) {
        return Math.floorDiv(nanos - nowNanos, NANOS_PER_MILLI);
    }

    static final long NANOS_PER_MILLI = 1_000_000;
}

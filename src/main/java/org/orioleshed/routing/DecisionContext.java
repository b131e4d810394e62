package org.orioleshed.routing;

import java.time.Instant;
import java.time.LocalTime;
import java.util.OptionalLong;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.PatienceWindow;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.WorkspaceId;

/**
 * The inputs common to all routing decisions of one event: clocks and fleet snapshot.
 *
 * @param nowNanos the time on the host's monotonic clock, in nanoseconds
 * @param epochMillis the host's wall clock in milliseconds since the epoch, empty until it is set
 * @param fleet the current fleet snapshot
 */
record DecisionContext(long nowNanos, OptionalLong epochMillis, FleetSnapshot fleet) {
    /** Returns the workspace's weight for fair queueing; one when the workspace is unknown. */
    int weight(WorkspaceId id) {
        Workspace workspace = fleet.workspaces().get(id);
        return workspace == null ? 1 : Math.max(1, workspace.weight());
    }

    /** Returns whether patient requests of the workspace may run now regardless of load. */
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

    /**
     * Returns the time from now to {@code nanos}, in milliseconds; negative when {@code nanos} is
     * in the past.
     */
    long millisUntil(long nanos) {
        return Math.floorDiv(nanos - nowNanos, NANOS_PER_MILLI);
    }

    static final long NANOS_PER_MILLI = 1_000_000;
}

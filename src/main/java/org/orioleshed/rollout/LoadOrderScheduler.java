package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * Orders a rollout's servers to load the new version. Orders are idempotent and carry the
 * coordinator's fencing number. A server that does not check it gets orders from a new coordinator
 * only after the lease of the previous one has certainly expired. A load is done when the server
 * reports the new version in its state.
 */
final class LoadOrderScheduler {
    private static final long STATE_READ_INTERVAL_NANOS = 1_000_000_000L;
    private static final long ORDER_REPEAT_NANOS = 30_000_000_000L;

    private final RolloutRecord rollout;
    private final RolloutLimits limits;
    private final WeightBudget budget;
    private final Map<ServerId, PendingLoad> pending = new HashMap<>();
    private final Map<ServerId, Boolean> loaded = new HashMap<>();

    LoadOrderScheduler(RolloutRecord rollout, RolloutLimits limits) {
        this.rollout = rollout;
        this.limits = limits;
        this.budget =
                new WeightBudget(
                        limits.weightLoadsAtOnce(),
                        limits.weightSpacingMillis() * RolloutCore.NANOS_PER_MILLI);
    }

    /** Returns whether every server has the new version. */
    boolean isDone() {
        return loaded.size() == rollout.loads().size();
    }

    /**
     * Returns the orders and state reads that are due.
     *
     * @param fence the coordinator's fencing number; its lease must be held
     * @param heldSinceNanos the time from which that lease is held
     */
    List<RolloutAction> tick(long nowNanos, long fence, long heldSinceNanos, FleetSnapshot fleet) {
        List<RolloutAction> actions = new ArrayList<>();
        for (ServerId id : rollout.loads()) {
            BackendServer server = fleet.servers().get(id);
            if (server == null || loaded.containsKey(id)) {
                continue;
            }
            if (!server.checksFencing() && nowNanos - heldSinceNanos < previousLeaseNanos()) {
                continue;
            }
            PendingLoad load = pending.get(id);
            if (load == null) {
                start(nowNanos, fence, server, actions);
            } else {
                followUp(nowNanos, fence, server, load, actions);
            }
        }
        return actions;
    }

    private void start(
            long nowNanos, long fence, BackendServer server, List<RolloutAction> actions) {
        if (!budget.tryStart(nowNanos)) {
            return;
        }
        pending.put(server.id(), new PendingLoad(fence, nowNanos, nowNanos));
        actions.add(order(server, fence));
    }

    private void followUp(
            long nowNanos,
            long fence,
            BackendServer server,
            PendingLoad load,
            List<RolloutAction> actions) {
        boolean newCoordinator = load.fence != fence;
        if (newCoordinator || nowNanos - load.orderedNanos >= ORDER_REPEAT_NANOS) {
            pending.put(server.id(), new PendingLoad(fence, nowNanos, nowNanos));
            actions.add(order(server, fence));
            return;
        }
        if (nowNanos - load.readNanos >= STATE_READ_INTERVAL_NANOS) {
            pending.put(server.id(), new PendingLoad(fence, load.orderedNanos, nowNanos));
            actions.add(new RolloutAction.ReadState(server.id()));
        }
    }

    /** Handles the version that a server reports. */
    void onState(ServerId server, VersionId version) {
        if (!version.equals(rollout.to()) || !rollout.loads().contains(server)) {
            return;
        }
        if (pending.remove(server) != null) {
            budget.finished();
        }
        loaded.put(server, true);
    }

    private RolloutAction order(BackendServer server, long fence) {
        return new RolloutAction.Order(
                server.id(), new ServerOrder.Load(rollout.target(), rollout.to()), fence);
    }

    private long previousLeaseNanos() {
        return (limits.leaseMillis() + limits.leaseMarginMillis()) * RolloutCore.NANOS_PER_MILLI;
    }

    private record PendingLoad(long fence, long orderedNanos, long readNanos) {}
}

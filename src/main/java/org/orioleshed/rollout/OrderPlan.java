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
 * Has a rollout's servers load the new version. Orders are idempotent and carry the coordinator's
 * fencing number. To a server that ignores it, a new coordinator gives orders only after the lease
 * of the one before has surely ended. An order counts as carried out when the server's state says
 * so.
 */
final class OrderPlan {
    private static final long READ_BACK_NANOS = 1_000_000_000L;
    private static final long REPEAT_NANOS = 30_000_000_000L;

    private final RolloutRecord rollout;
    private final RolloutLimits limits;
    private final WeightBudget budget;
    private final Map<ServerId, Loading> loading = new HashMap<>();
    private final Map<ServerId, Boolean> loaded = new HashMap<>();

    OrderPlan(RolloutRecord rollout, RolloutLimits limits) {
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
     * Gives the orders that are due.
     *
     * @param fence the coordinator's fencing number, of a lease held now
     * @param heldSinceNanos since when that lease is held
     */
    List<RolloutAction> tick(long nowNanos, long fence, long heldSinceNanos, FleetSnapshot fleet) {
        List<RolloutAction> actions = new ArrayList<>();
        for (ServerId id : rollout.loads()) {
            BackendServer server = fleet.servers().get(id);
            if (server == null || loaded.containsKey(id)) {
                continue;
            }
            if (!server.checksFencing() && nowNanos - heldSinceNanos < oldLeaseNanos()) {
                continue;
            }
            Loading started = loading.get(id);
            if (started == null) {
                start(nowNanos, fence, server, actions);
            } else {
                follow(nowNanos, fence, server, started, actions);
            }
        }
        return actions;
    }

    private void start(
            long nowNanos, long fence, BackendServer server, List<RolloutAction> actions) {
        if (!budget.tryStart(nowNanos)) {
            return;
        }
        loading.put(server.id(), new Loading(fence, nowNanos, nowNanos));
        actions.add(order(server, fence));
    }

    private void follow(
            long nowNanos,
            long fence,
            BackendServer server,
            Loading started,
            List<RolloutAction> actions) {
        boolean newCoordinator = started.fence != fence;
        if (newCoordinator || nowNanos - started.orderedNanos >= REPEAT_NANOS) {
            loading.put(server.id(), new Loading(fence, nowNanos, nowNanos));
            actions.add(order(server, fence));
            return;
        }
        if (nowNanos - started.readNanos >= READ_BACK_NANOS) {
            loading.put(server.id(), new Loading(fence, started.orderedNanos, nowNanos));
            actions.add(new RolloutAction.ReadState(server.id()));
        }
    }

    /** Takes a server's own word on the version that it runs. */
    void onState(ServerId server, VersionId version) {
        if (!version.equals(rollout.to()) || !rollout.loads().contains(server)) {
            return;
        }
        if (loading.remove(server) != null) {
            budget.finished();
        }
        loaded.put(server, true);
    }

    private RolloutAction order(BackendServer server, long fence) {
        return new RolloutAction.Order(
                server.id(), new ServerOrder.Load(rollout.target(), rollout.to()), fence);
    }

    private long oldLeaseNanos() {
        return (limits.leaseMillis() + limits.leaseMarginMillis()) * RolloutCore.NANOS_PER_MILLI;
    }

    private record Loading(long fence, long orderedNanos, long readNanos) {}
}

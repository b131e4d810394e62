package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.Scheduler;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;

/** Supplies schedulers with the servers, limits and rollouts in force. */
final class CatalogFeed {
    private final Map<RolloutOrder, Long> ordersSeenNanos = new HashMap<>();
    private final Map<RolloutOrder, RolloutOutcome> recorded = new HashMap<>();
    private final Map<ServerId, PoolServer> servers = new HashMap<>();
    private final WarmupRecord warmups = new WarmupRecord();
    private CatalogSnapshot snapshot = CatalogSnapshot.EMPTY;

    /** Takes a newer snapshot. */
    void catalogChanged(CatalogSnapshot newer, long nowNanos) {
        snapshot = newer;
        warmups.update(newer.servers(), nowNanos);
        servers.clear();
        newer.servers().forEach(server -> servers.put(server.id(), server));
        newer.orders().forEach(order -> ordersSeenNanos.putIfAbsent(order, nowNanos));
    }

    /** Takes the outcome of a rollout as recorded in the store. */
    void recorded(RolloutOrder order, RolloutOutcome outcome) {
        recorded.put(order, outcome);
    }

    /** Returns the server with an id; empty if the snapshot has none. */
    Optional<PoolServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Replays everything in force to a scheduler and returns the resulting actions.
     *
     * @param seesAllResponses whether the scheduler receives the responses of all servers
     */
    List<DispatchAction> replay(Scheduler scheduler, boolean seesAllResponses, long nowNanos) {
        List<DispatchEvent> events = new ArrayList<>();
        snapshot.catalog().ifPresent(catalog -> events.add(limits(catalog)));
        for (RolloutOrder order : snapshot.orders()) {
            long seenNanos = ordersSeenNanos.get(order);
            events.add(new DispatchEvent.RolloutOrdered(order, seenNanos, seesAllResponses));
        }
        recorded.forEach(
                (order, outcome) -> events.add(new DispatchEvent.RolloutSettled(order, outcome)));
        // Cold servers are marked before queued requests are sent to the new ones among them.
        events.addAll(warmups.events(snapshot, nowNanos));
        events.add(new DispatchEvent.ServersChanged(snapshot.servers()));
        List<DispatchAction> actions = new ArrayList<>();
        events.forEach(event -> actions.addAll(scheduler.on(nowNanos, event)));
        return actions;
    }

    private static DispatchEvent limits(Catalog catalog) {
        Map<WorkspaceId, Quota> quotas = new HashMap<>();
        catalog.workspaces()
                .forEach((id, workspaceConfig) -> quotas.put(id, workspaceConfig.quota()));
        return new DispatchEvent.LimitsChanged(catalog.pools(), quotas);
    }
}

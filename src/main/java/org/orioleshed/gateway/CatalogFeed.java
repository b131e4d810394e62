package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
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
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/** Supplies schedulers with the servers, limits and rollouts in force. */
final class CatalogFeed {
    private final Map<RolloutOrder, Long> ordersSeenNanos = new HashMap<>();
    private final Map<RolloutOrder, RolloutOutcome> recorded = new HashMap<>();
    private final Map<ServerId, PoolServer> servers = new HashMap<>();
    private final LongSupplier wallClock;
    private final WarmupRecord warmups = new WarmupRecord();
    private CatalogSnapshot snapshot = CatalogSnapshot.EMPTY;
    private Map<ServiceId, Set<ServerId>> evacuated = Map.of();

    /** Makes a feed without servers; the clock returns the wall-clock time in Unix milliseconds. */
    CatalogFeed(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /** Takes a newer snapshot. */
    void catalogChanged(CatalogSnapshot newer, long nowNanos) {
        snapshot = newer;
        warmups.update(newer.servers(), nowNanos);
        servers.clear();
        newer.servers().forEach(server -> servers.put(server.id(), server));
        evacuated =
                newer.servers().stream()
                        .filter(this::isEvacuated)
                        .collect(
                                Collectors.groupingBy(
                                        PoolServer::service,
                                        Collectors.mapping(PoolServer::id, Collectors.toSet())));
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

    /** Returns whether the failure domain of a server is evacuated. */
    boolean isEvacuated(PoolServer server) {
        return snapshot.evacuated().contains(server.domain());
    }

    /** Returns a pool's servers in evacuated failure domains. */
    Set<ServerId> evacuated(ServiceId service) {
        return evacuated.getOrDefault(service, Set.of());
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
        events.add(
                new DispatchEvent.ServersChanged(
                        snapshot.servers(), snapshot.evacuated(), wallClock.getAsLong()));
        List<DispatchAction> actions = new ArrayList<>();
        events.forEach(event -> actions.addAll(scheduler.on(nowNanos, event)));
        return actions;
    }

    private static DispatchEvent limits(Catalog catalog) {
        Map<WorkspaceId, Quota> quotas = new HashMap<>();
        catalog.access()
                .workspaces()
                .forEach((id, workspaceConfig) -> quotas.put(id, workspaceConfig.quota()));
        return new DispatchEvent.LimitsChanged(catalog.pools(), quotas);
    }
}

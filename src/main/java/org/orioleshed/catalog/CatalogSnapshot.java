package org.orioleshed.catalog;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.store.StoreRevision;

/**
 * The configuration, servers and rollout orders in force at one host.
 *
 * @param configRevision the store's revision of the configuration; none if none was loaded
 * @param catalog the configuration; empty if none was loaded
 * @param operators the operators' entries, as stored
 * @param entries the servers' entries, as stored
 * @param servers the usable servers
 * @param orders the newest rollout order of each pool
 * @param evacuated the failure domains to whose servers nothing may be sent
 */
public record CatalogSnapshot(
        StoreRevision configRevision,
        Optional<Catalog> catalog,
        EntryView operators,
        EntryView entries,
        List<PoolServer> servers,
        List<RolloutOrder> orders,
        Set<FailureDomain> evacuated) {
    /** The snapshot at a host's start. */
    public static final CatalogSnapshot EMPTY =
            new CatalogSnapshot(
                    StoreRevision.NONE,
                    Optional.empty(),
                    EntryView.EMPTY,
                    EntryView.EMPTY,
                    List.of(),
                    List.of(),
                    Set.of());

    /** Copies the collections. */
    public CatalogSnapshot {
        servers = List.copyOf(servers);
        orders = List.copyOf(orders);
        evacuated = Set.copyOf(evacuated);
    }

    /** Returns the configuration; empty until the servers' entries were read, too. */
    public Optional<Catalog> usable() {
        return entries.revision().isNone() ? Optional.empty() : catalog;
    }

    /**
     * Returns whether another host has received a later change.
     *
     * @param operatorsChanged the revision of the last change to operators' entries that it has
     *     seen
     * @param serversChanged the revision of the last change to servers' entries that it has seen
     */
    public boolean isBehind(StoreRevision operatorsChanged, StoreRevision serversChanged) {
        return operatorsChanged.isAfter(operators.revision())
                || serversChanged.isAfter(entries.revision());
    }
}

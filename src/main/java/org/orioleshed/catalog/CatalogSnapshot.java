package org.orioleshed.catalog;

import java.util.List;
import java.util.Optional;

/**
 * The configuration and the servers in force at one host.
 *
 * @param configRevision the store's revision of the configuration; 0 while none is known
 * @param catalog the configuration; empty while none is known
 * @param operators what operators wrote, as the store holds it
 * @param entries the servers' entries, as the store holds them
 * @param servers the servers that may be used
 * @param orders the newest rollout order of each pool
 */
public record CatalogSnapshot(
        long configRevision,
        Optional<Catalog> catalog,
        EntryView operators,
        EntryView entries,
        List<PoolServer> servers,
        List<RolloutOrder> orders) {
    /** What a host knows at its start. */
    public static final CatalogSnapshot NOTHING =
            new CatalogSnapshot(
                    0,
                    Optional.empty(),
                    EntryView.NOTHING,
                    EntryView.NOTHING,
                    List.of(),
                    List.of());

    /** Copies the lists. */
    public CatalogSnapshot {
        servers = List.copyOf(servers);
        orders = List.copyOf(orders);
    }

    /** Returns the configuration once the servers are known, too; empty before. */
    public Optional<Catalog> usable() {
        return entries.revision() > 0 ? catalog : Optional.empty();
    }

    /** Returns whether a host that knows of changes up to these revisions knows something later. */
    public boolean isBehind(long operatorsChanged, long serversChanged) {
        return operatorsChanged > operators.revision() || serversChanged > entries.revision();
    }
}

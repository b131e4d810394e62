package org.orioleshed.catalog;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * The configuration and the servers in force at one host.
 *
 * @param configRevision the store's revision of the configuration; 0 while none is known
 * @param config the configuration as the store holds it; empty while none is known
 * @param catalog the configuration; empty while none is known
 * @param serversRevision the store's revision up to which the servers are known
 * @param entries the servers' entries as the store holds them
 * @param servers the servers that may be used
 * @param orders the newest order to move each pool between versions
 */
public record CatalogSnapshot(
        long configRevision,
        Payload config,
        Optional<Catalog> catalog,
        long serversRevision,
        List<Store.Entry> entries,
        List<PoolServer> servers,
        List<MoveOrder> orders) {
    /** What a host knows at its start. */
    public static final CatalogSnapshot NOTHING =
            new CatalogSnapshot(
                    0, Payload.EMPTY, Optional.empty(), 0, List.of(), List.of(), List.of());

    /** Copies the lists. */
    public CatalogSnapshot {
        entries = List.copyOf(entries);
        servers = List.copyOf(servers);
        orders = List.copyOf(orders);
    }

    /** Returns the configuration once the servers are known, too; empty before. */
    public Optional<Catalog> usable() {
        return serversRevision > 0 ? catalog : Optional.empty();
    }

    /** Returns whether {@code other} holds something later. */
    public boolean isBehind(long otherConfigRevision, long otherServersRevision) {
        return otherConfigRevision > configRevision || otherServersRevision > serversRevision;
    }
}

package org.orioleshed.gateway;

import java.util.List;
import java.util.Optional;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * What hosts tell each other of the configuration and the servers in force.
 *
 * @param configRevision the revision of the configuration that the sender has in force
 * @param serversRevision the revision up to which it knows the servers
 * @param wanted whether the receiver should answer with what it knows beyond these
 * @param config the whole configuration, where it was wanted
 * @param entries the servers' entries, where they were wanted
 */
record CatalogUpdate(
        long configRevision,
        long serversRevision,
        boolean wanted,
        Optional<Payload> config,
        Optional<List<Store.Entry>> entries) {
    static CatalogUpdate revisions(CatalogSnapshot own, boolean wanted) {
        return new CatalogUpdate(
                own.configRevision(),
                own.serversRevision(),
                wanted,
                Optional.empty(),
                Optional.empty());
    }

    /** Returns what {@code own} holds beyond what the asking host has. */
    static CatalogUpdate answer(CatalogSnapshot own, CatalogUpdate asked) {
        boolean newerConfig = own.configRevision() > asked.configRevision();
        boolean newerServers = own.serversRevision() > asked.serversRevision();
        return new CatalogUpdate(
                own.configRevision(),
                own.serversRevision(),
                false,
                newerConfig ? Optional.of(own.config()) : Optional.empty(),
                newerServers ? Optional.of(own.entries()) : Optional.empty());
    }

    boolean hasContent() {
        return config.isPresent() || entries.isPresent();
    }

    /** Returns the content as a snapshot in which what is missing has revision 0. */
    CatalogSnapshot toSnapshot() {
        return new CatalogSnapshot(
                config.isPresent() ? configRevision : 0,
                config.orElse(Payload.EMPTY),
                Optional.empty(),
                entries.isPresent() ? serversRevision : 0,
                entries.orElse(List.of()),
                List.of(),
                List.of());
    }
}

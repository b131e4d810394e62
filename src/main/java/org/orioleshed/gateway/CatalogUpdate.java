package org.orioleshed.gateway;

import java.util.Optional;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.EntryChange;
import org.orioleshed.catalog.EntryView;

/** What hosts tell each other of the configuration and the servers in force. */
sealed interface CatalogUpdate {
    /**
     * What the sender has in force.
     *
     * @param operators the revision of the last change of what operators wrote
     * @param servers the revision of the last change of the servers
     */
    record Revisions(long operators, long servers) implements CatalogUpdate {
        static Revisions of(CatalogSnapshot own) {
            return new Revisions(own.operators().changed(), own.entries().changed());
        }
    }

    /**
     * The receiver should answer with what it knows beyond these revisions.
     *
     * @param operators the revision up to which the sender knows what operators wrote
     * @param servers the revision up to which it knows the servers
     */
    record Wanted(long operators, long servers) implements CatalogUpdate {
        static Wanted by(CatalogSnapshot own) {
            return new Wanted(own.operators().revision(), own.entries().revision());
        }

        /** Returns what {@code own} holds beyond what is wanted; nothing where it is behind. */
        Content answer(CatalogSnapshot own) {
            return new Content(beyond(own.operators(), operators), beyond(own.entries(), servers));
        }

        private static Optional<EntryChange> beyond(EntryView own, long known) {
            return own.changed() > known ? Optional.of(own.after(known)) : Optional.empty();
        }
    }

    /** What the receiver lacks; empty where it lacks nothing. */
    record Content(Optional<EntryChange> operators, Optional<EntryChange> servers)
            implements CatalogUpdate {
        boolean isEmpty() {
            return operators.isEmpty() && servers.isEmpty();
        }
    }
}

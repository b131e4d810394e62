package org.orioleshed.gateway;

import java.util.Optional;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.EntryChange;
import org.orioleshed.catalog.EntryView;
import org.orioleshed.store.StoreRevision;

/** A message between hosts about the configuration and the servers in force. */
sealed interface CatalogUpdate {
    /**
     * The revisions in force at the sender.
     *
     * @param operators the revision of the last change of the operators' entries
     * @param servers the revision of the last change of the server entries
     */
    record Revisions(StoreRevision operators, StoreRevision servers) implements CatalogUpdate {
        /** The revisions of a host that has read nothing. */
        static final Revisions NONE = new Revisions(StoreRevision.NONE, StoreRevision.NONE);

        static Revisions of(CatalogSnapshot own) {
            return new Revisions(own.operators().changed(), own.entries().changed());
        }
    }

    /**
     * Sent by a host that watches the store to the hosts of its failure domain.
     *
     * @param revisions the revisions in force at the sender
     * @param ageMillis the time since the store last confirmed the sender's copy, in milliseconds
     */
    record WatchReport(Revisions revisions, long ageMillis) implements CatalogUpdate {
        /** Validates the age. */
        public WatchReport {
            if (ageMillis < 0) {
                throw new IllegalArgumentException("age must not be negative, found " + ageMillis);
            }
        }
    }

    /**
     * Requests the changes after these revisions.
     *
     * @param operators the revision up to which the sender has the operators' entries
     * @param servers the revision up to which the sender has the server entries
     */
    record FetchRequest(StoreRevision operators, StoreRevision servers) implements CatalogUpdate {
        static FetchRequest of(CatalogSnapshot own) {
            return new FetchRequest(own.operators().revision(), own.entries().revision());
        }

        /** Returns the requested changes from {@code own}; none if it is not ahead. */
        Content changesIn(CatalogSnapshot own) {
            return new Content(
                    changesAfter(own.operators(), operators), changesAfter(own.entries(), servers));
        }

        private static Optional<EntryChange> changesAfter(EntryView own, StoreRevision revision) {
            return own.changed().isAfter(revision)
                    ? Optional.of(own.after(revision))
                    : Optional.empty();
        }
    }

    /** The changes that the receiver lacks; empty if it lacks none. */
    record Content(Optional<EntryChange> operators, Optional<EntryChange> servers)
            implements CatalogUpdate {
        boolean isEmpty() {
            return operators.isEmpty() && servers.isEmpty();
        }
    }
}

package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * A change to the store's entries under one key prefix, between two revisions.
 *
 * @param since the revision up to which the receiver must have all entries; none if {@code entries}
 *     is complete
 * @param revision the store's revision after the change
 * @param changed the store's revision of the last change to these entries
 * @param settled false shortly after an outage of the store, while live entries may be missing
 * @param entries the new and changed entries
 * @param removed the removed keys
 */
public record EntryChange(
        StoreRevision since,
        StoreRevision revision,
        StoreRevision changed,
        boolean settled,
        List<Store.Entry> entries,
        List<Removal> removed) {
    /**
     * A removed key.
     *
     * @param key the key
     * @param revision the store's revision of the removal
     */
    public record Removal(String key, StoreRevision revision) {}

    /** Validates the revisions and copies the lists. */
    public EntryChange {
        if (since.isAfter(revision)) {
            throw new IllegalArgumentException(
                    "revision must not be before since, found revision "
                            + revision
                            + ", since "
                            + since);
        }
        entries = List.copyOf(entries);
        removed = List.copyOf(removed);
    }

    /** Returns whether the entries are complete, rather than a difference. */
    public boolean isComplete() {
        return since.isNone();
    }
}

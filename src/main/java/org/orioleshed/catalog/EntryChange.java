package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.store.Store;

/**
 * How the store's entries under one prefix changed between two revisions.
 *
 * @param since who takes the change must know all entries up to this revision; 0 where {@code
 *     entries} is all there is
 * @param revision the store's revision after the change
 * @param changed the store's revision of the last change among them
 * @param settled false shortly after an outage of the store, while live entries may be missing
 * @param entries the entries that are new or changed
 * @param removed the keys of the entries that are gone
 */
public record EntryChange(
        long since,
        long revision,
        long changed,
        boolean settled,
        List<Store.Entry> entries,
        List<Removal> removed) {
    /** A key that is gone since the store's revision. */
    public record Removal(String key, long revision) {}

    /** Checks the revisions and copies the lists. */
    public EntryChange {
        if (since < 0 || revision < since) {
            throw new IllegalArgumentException(
                    "revisions out of order: " + since + ", " + revision);
        }
        entries = List.copyOf(entries);
        removed = List.copyOf(removed);
    }

    /** Returns whether the entries are all there is. */
    public boolean isWhole() {
        return since == 0;
    }
}

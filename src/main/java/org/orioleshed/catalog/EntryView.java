package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.catalog.EntryChange.Removal;
import org.orioleshed.store.Store;

/**
 * One host's copy of the store's entries under one key prefix.
 *
 * @param revision the store's revision up to which the copy is complete; 0 if nothing was read
 * @param changed the store's revision of the last change in the copy
 * @param settled false shortly after an outage of the store, while live entries may be missing
 * @param entries the present entries
 * @param removedSince the revision after which {@code removed} has all removals
 * @param removed the recent removals
 */
public record EntryView(
        long revision,
        long changed,
        boolean settled,
        List<Store.Entry> entries,
        long removedSince,
        List<Removal> removed) {
    /** The view at a host's start. */
    public static final EntryView EMPTY = new EntryView(0, 0, true, List.of(), 0, List.of());

    /** Copies the lists. */
    public EntryView {
        entries = List.copyOf(entries);
        removed = List.copyOf(removed);
    }

    /**
     * Returns the change that updates a host from a revision: the difference, or all entries if the
     * removals since that revision are no longer kept.
     *
     * @param since the revision up to which the host has the entries; 0 if it has none
     */
    public EntryChange after(long since) {
        if (since == 0 || since < removedSince) {
            return new EntryChange(0, revision, changed, settled, entries, List.of());
        }
        return new EntryChange(
                since,
                Math.max(since, revision),
                changed,
                settled,
                entries.stream().filter(entry -> entry.revision() > since).toList(),
                removed.stream().filter(removal -> removal.revision() > since).toList());
    }
}

package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.catalog.EntryChange.Removal;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * One host's copy of the store's entries under one key prefix.
 *
 * @param revision the store's revision up to which the copy is complete; none if nothing was read
 * @param changed the store's revision of the last change in the copy
 * @param settled false shortly after an outage of the store, while live entries may be missing
 * @param entries the present entries
 * @param removedSince the revision after which {@code removed} has all removals
 * @param removed the recent removals
 */
public record EntryView(
        StoreRevision revision,
        StoreRevision changed,
        boolean settled,
        List<Store.Entry> entries,
        StoreRevision removedSince,
        List<Removal> removed) {
    /** The view at a host's start. */
    public static final EntryView EMPTY =
            new EntryView(
                    StoreRevision.NONE,
                    StoreRevision.NONE,
                    true,
                    List.of(),
                    StoreRevision.NONE,
                    List.of());

    /** Copies the lists. */
    public EntryView {
        entries = List.copyOf(entries);
        removed = List.copyOf(removed);
    }

    /**
     * Returns the change that updates a host from a revision: the difference, or all entries if the
     * removals since that revision are no longer kept or the store was restored since.
     *
     * @param since the revision up to which the host has the entries; none if it has none
     */
    public EntryChange after(StoreRevision since) {
        if (since.isNone() || removedSince.isAfter(since) || revision.isOfLaterEraThan(since)) {
            return new EntryChange(
                    StoreRevision.NONE, revision, changed, settled, entries, List.of());
        }
        return new EntryChange(
                since,
                StoreRevision.max(since, revision),
                changed,
                settled,
                entries.stream().filter(entry -> entry.revision().isAfter(since)).toList(),
                removed.stream().filter(removal -> removal.revision().isAfter(since)).toList());
    }
}

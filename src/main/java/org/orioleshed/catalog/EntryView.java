package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.catalog.EntryChange.Removal;
import org.orioleshed.store.Store;

/**
 * The store's entries under one prefix, as one host knows them.
 *
 * @param revision the store's revision up to which they are known; 0 for none
 * @param changed the store's revision of the last change known
 * @param settled false shortly after an outage of the store, while live entries may be missing
 * @param entries the entries present
 * @param removedSince removals after this revision are all in {@code removed}
 * @param removed what was removed lately
 */
public record EntryView(
        long revision,
        long changed,
        boolean settled,
        List<Store.Entry> entries,
        long removedSince,
        List<Removal> removed) {
    /** What a host knows at its start. */
    public static final EntryView NOTHING = new EntryView(0, 0, true, List.of(), 0, List.of());

    /** Copies the lists. */
    public EntryView {
        entries = List.copyOf(entries);
        removed = List.copyOf(removed);
    }

    /**
     * Returns what a host lacks that knows the entries up to a revision: the difference, or all
     * entries where the difference is not known any more.
     */
    public EntryChange after(long known) {
        if (known == 0 || known < removedSince) {
            return new EntryChange(0, revision, changed, settled, entries, List.of());
        }
        return new EntryChange(
                known,
                Math.max(known, revision),
                changed,
                settled,
                entries.stream().filter(entry -> entry.revision() > known).toList(),
                removed.stream().filter(removal -> removal.revision() > known).toList());
    }
}

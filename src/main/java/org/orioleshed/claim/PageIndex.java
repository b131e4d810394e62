package org.orioleshed.claim;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.claim.ClaimHead.PageRef;

/** The hashes of the keys in a bucket's pages, which take eight bytes per claim. */
final class PageIndex {
    private final Map<Long, Entry> byGeneration = new HashMap<>();

    void put(ClaimPage page) {
        Entry entry = byGeneration.get(page.generation());
        if (entry == null || entry.version < page.version()) {
            byGeneration.put(page.generation(), new Entry(page.version(), page.index()));
        }
    }

    /** Returns the first of {@code pages} that is not indexed at the referenced version. */
    Optional<PageRef> missing(List<PageRef> pages) {
        return pages.stream()
                .filter(
                        page -> {
                            Entry entry = byGeneration.get(page.generation());
                            return entry == null || entry.version < page.version();
                        })
                .findFirst();
    }

    /** Removes all pages except {@code pages}. */
    void retain(List<PageRef> pages) {
        Set<Long> kept = new HashSet<>();
        pages.forEach(page -> kept.add(page.generation()));
        byGeneration.keySet().retainAll(kept);
    }

    boolean mayHold(PageRef page, long hash) {
        Entry entry = byGeneration.get(page.generation());
        return entry == null || Arrays.binarySearch(entry.hashes, hash) >= 0;
    }

    private static final class Entry {
        final int version;
        final long[] hashes;

        Entry(int version, long[] hashes) {
            this.version = version;
            this.hashes = hashes;
        }
    }
}

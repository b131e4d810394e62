package org.orioleshed.claim;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.claim.ClaimHead.PageRef;

/** Hashes of the keys in a bucket's pages: eight bytes for each claim. */
final class PageIndex {
    private final Map<Long, Entry> byGeneration = new HashMap<>();

    void put(ClaimPage page) {
        Entry known = byGeneration.get(page.generation());
        if (known == null || known.version < page.version()) {
            byGeneration.put(page.generation(), new Entry(page.version(), page.index()));
        }
    }

    /** Returns a page of {@code pages} that is not known as the head names it. */
    Optional<PageRef> missing(List<PageRef> pages) {
        return pages.stream()
                .filter(
                        page -> {
                            Entry known = byGeneration.get(page.generation());
                            return known == null || known.version < page.version();
                        })
                .findFirst();
    }

    /** Forgets all pages but {@code pages}. */
    void retain(List<PageRef> pages) {
        Set<Long> kept = new HashSet<>();
        pages.forEach(page -> kept.add(page.generation()));
        byGeneration.keySet().retainAll(kept);
    }

    boolean mayHold(PageRef page, long hash) {
        Entry known = byGeneration.get(page.generation());
        return known == null || Arrays.binarySearch(known.hashes, hash) >= 0;
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

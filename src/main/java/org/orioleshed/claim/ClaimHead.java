package org.orioleshed.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * The newest claims of one bucket, and references to the pages with its older ones.
 *
 * @param clockMillis the bucket's logical clock, in milliseconds. The hosts' clocks are not
 *     synchronized, so this clock advances while hosts write the head and stands still otherwise;
 *     as a result claims are kept longer, never shorter
 * @param nextGeneration the generation of the next page
 * @param records the newest claims by key; they take precedence over those in pages
 * @param pages the pages of older claims, oldest first
 */
record ClaimHead(
        long clockMillis,
        long nextGeneration,
        Map<RequestKey, ClaimRecord> records,
        List<PageRef> pages) {
    static final ClaimHead EMPTY = new ClaimHead(0, 1, Map.of(), List.of());

    /**
     * The encoded size of a page reference; an upper bound, also used for the head's own fields.
     */
    private static final int PAGE_BYTES = 40;

    /** A reference to a page. The page contains all moved claims from this version on. */
    record PageRef(int slot, long generation, int version, long newestMillis) {
        /** Returns whether {@code page} is the referenced page, at this version or a later one. */
        boolean matches(ClaimPage page) {
            return page.generation() == generation && page.version() >= version;
        }
    }

    /** Returns an upper bound of the encoded size. */
    int bytes() {
        int bytes = PAGE_BYTES * (pages.size() + 1);
        for (ClaimRecord record : records.values()) {
            bytes += record.bytes();
        }
        return bytes;
    }

    /**
     * Returns this head at a later time, without records and pages older than the retention time.
     */
    ClaimHead advancedTo(long nowMillis, long retentionMillis) {
        Map<RequestKey, ClaimRecord> kept = new LinkedHashMap<>(records);
        kept.values().removeIf(record -> record.atMillis() + retentionMillis < nowMillis);
        List<PageRef> keptPages =
                pages.stream()
                        .filter(page -> page.newestMillis() + retentionMillis >= nowMillis)
                        .toList();
        return new ClaimHead(nowMillis, nextGeneration, kept, keptPages);
    }

    /** Returns the claim of {@code run} if it holds the key in this head. */
    Optional<ClaimRecord> find(RequestKey key, RunId run) {
        return Optional.ofNullable(records.get(key)).filter(record -> record.run().equals(run));
    }

    /** Returns the lowest slot that no page uses. */
    int freeSlot() {
        for (int slot = 0; ; slot++) {
            int candidate = slot;
            if (pages.stream().noneMatch(page -> page.slot() == candidate)) {
                return slot;
            }
        }
    }
}

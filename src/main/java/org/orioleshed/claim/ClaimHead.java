package org.orioleshed.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * The newest claims of one bucket, and where its older ones lie. Immutable.
 *
 * @param clockMillis the bucket's own clock: hosts' clocks are not in step, so it runs on while
 *     somebody writes and stands still otherwise; claims are kept longer for it, never shorter
 * @param nextGeneration the generation of the next page
 * @param records the newest claims by key; one here overrides one in a page
 * @param pages the pages of older claims, oldest first
 */
record ClaimHead(
        long clockMillis,
        long nextGeneration,
        Map<RequestKey, ClaimRecord> records,
        List<PageRef> pages) {
    static final ClaimHead EMPTY = new ClaimHead(0, 1, Map.of(), List.of());

    /** What the head takes besides its records, in bytes, for each page. */
    private static final int PAGE_BYTES = 40;

    /** A page as the head names it: at least this version of it holds all that was moved there. */
    record PageRef(int slot, long generation, int version, long newestMillis) {
        /** Returns whether {@code page} is the one named here. */
        boolean isMetBy(ClaimPage page) {
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

    /** Returns this head at a later time, without what is older than the retention. */
    ClaimHead at(long nowMillis, long retentionMillis) {
        Map<RequestKey, ClaimRecord> kept = new LinkedHashMap<>(records);
        kept.values().removeIf(record -> record.atMillis() + retentionMillis < nowMillis);
        List<PageRef> keptPages =
                pages.stream()
                        .filter(page -> page.newestMillis() + retentionMillis >= nowMillis)
                        .toList();
        return new ClaimHead(nowMillis, nextGeneration, kept, keptPages);
    }

    /** Returns the claim of {@code run}, if it has the key here. */
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

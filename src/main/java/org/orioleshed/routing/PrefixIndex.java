package org.orioleshed.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.Work;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * The owner's picture of one backend server's prefix cache: what was sent there, the least recently
 * used forgotten first at the cache's own size, corrected by the engine's reports.
 */
final class PrefixIndex {
    private static final double CONFIDENCE_AFTER_GAP = 0.5;
    private static final double CONFIDENCE_STEP = 0.1;

    private final Map<Long, Boolean> blocks =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > maxBlocks;
                }
            };
    private long maxBlocks;
    private double confidence = 1;

    PrefixIndex(long cacheTokens) {
        maxBlocks = cacheTokens / Work.PREFIX_BLOCK_TOKENS;
    }

    /** Forgets all and starts anew with a cache of another size. */
    void reset(long cacheTokens) {
        clear();
        maxBlocks = cacheTokens / Work.PREFIX_BLOCK_TOKENS;
    }

    /** Notes that a prompt was sent to the engine. */
    void sent(List<Long> prefixHashes) {
        // The longest prefix first, so that the shared short ones are the last to be forgotten.
        for (Long hash : prefixHashes.reversed()) {
            blocks.put(hash, true);
        }
    }

    /** Corrects the picture by a report of the engine; after a gap it is trusted by half. */
    void reported(List<Long> stored, List<Long> evicted, boolean gap) {
        evicted.forEach(blocks::remove);
        stored.forEach(hash -> blocks.put(hash, true));
        confidence =
                gap ? confidence * CONFIDENCE_AFTER_GAP : Math.min(1, confidence + CONFIDENCE_STEP);
    }

    /** Forgets all: the engine lost its cache. */
    void clear() {
        blocks.clear();
        confidence = 1;
    }

    /** Returns how many leading tokens of the prompt are expected in the cache. */
    int cachedTokens(List<Long> prefixHashes) {
        int leading = 0;
        while (leading < prefixHashes.size() && blocks.containsKey(prefixHashes.get(leading))) {
            leading++;
        }
        return (int) (leading * Work.PREFIX_BLOCK_TOKENS * confidence);
    }

    /** Returns how many tokens of the prompt are not expected in the cache. */
    int uncachedTokens(Offer offer) {
        return Math.max(0, offer.promptTokens() - cachedTokens(offer.prefixHashes()));
    }

    int size() {
        return blocks.size();
    }
}

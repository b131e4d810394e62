package org.orioleshed.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.Work;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * The owner's estimate of one backend server's prefix cache: the prefixes that were sent to it,
 * evicted in least-recently-used order at the size of the cache, and corrected by the engine's
 * reports.
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

    /** Clears the index and sets the size of the cache. */
    void reset(long cacheTokens) {
        clear();
        maxBlocks = cacheTokens / Work.PREFIX_BLOCK_TOKENS;
    }

    /** Records that a prompt was sent to the engine. */
    void sent(List<Long> prefixHashes) {
        // The longest prefix first, so that the short, shared ones are evicted last.
        for (Long hash : prefixHashes.reversed()) {
            blocks.put(hash, true);
        }
    }

    /**
     * Applies a cache report of the engine. A gap in the reports halves the confidence in the
     * index.
     */
    void reported(List<Long> stored, List<Long> evicted, boolean gap) {
        evicted.forEach(blocks::remove);
        stored.forEach(hash -> blocks.put(hash, true));
        confidence =
                gap ? confidence * CONFIDENCE_AFTER_GAP : Math.min(1, confidence + CONFIDENCE_STEP);
    }

    /** Clears the index after the engine has lost its cache. */
    void clear() {
        blocks.clear();
        confidence = 1;
    }

    /** Returns the number of leading tokens of the prompt that are expected in the cache. */
    int cachedTokens(List<Long> prefixHashes) {
        int leading = 0;
        while (leading < prefixHashes.size() && blocks.containsKey(prefixHashes.get(leading))) {
            leading++;
        }
        return (int) (leading * Work.PREFIX_BLOCK_TOKENS * confidence);
    }

    /** Returns the number of tokens of the prompt that are not expected in the cache. */
    int uncachedTokens(Offer offer) {
        return Math.max(0, offer.promptTokens() - cachedTokens(offer.prefixHashes()));
    }

    int size() {
        return blocks.size();
    }
}

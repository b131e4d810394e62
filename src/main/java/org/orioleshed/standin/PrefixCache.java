package org.orioleshed.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.Work;

/** A prefix cache of limited size that evicts the least recently used blocks. */
final class PrefixCache {
    private final int maxBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

    PrefixCache(int cacheTokens) {
        this.maxBlocks = cacheTokens / Work.PREFIX_BLOCK_TOKENS;
    }

    /** Returns the number of leading tokens of a prompt with these blocks that are cached. */
    int cachedTokens(List<Long> hashes) {
        int tokens = 0;
        for (Long hash : hashes) {
            if (blocks.get(hash) == null) {
                break;
            }
            tokens += Work.PREFIX_BLOCK_TOKENS;
        }
        return tokens;
    }

    /** Stores the blocks and returns the evicted blocks. */
    List<Long> store(List<Long> hashes) {
        hashes.forEach(hash -> blocks.put(hash, true));
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> leastRecentlyUsed = blocks.keySet().iterator();
        while (blocks.size() - evicted.size() > maxBlocks) {
            evicted.add(leastRecentlyUsed.next());
        }
        evicted.forEach(blocks::remove);
        return evicted;
    }

    void clear() {
        blocks.clear();
    }
}

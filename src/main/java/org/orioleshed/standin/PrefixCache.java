package org.orioleshed.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.Work;

/** A prefix cache of limited size that drops the blocks least recently used. */
final class PrefixCache {
    private final int maxBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

    PrefixCache(int cacheTokens) {
        this.maxBlocks = cacheTokens / Work.PREFIX_BLOCK_TOKENS;
    }

    /** Returns how many leading tokens of a prompt with these blocks are cached. */
    int cachedTokens(List<Long> hashes) {
        int cached = 0;
        for (Long hash : hashes) {
            if (blocks.get(hash) == null) {
                break;
            }
            cached += Work.PREFIX_BLOCK_TOKENS;
        }
        return cached;
    }

    /** Keeps the blocks, and returns those that were dropped for them. */
    List<Long> store(List<Long> hashes) {
        hashes.forEach(hash -> blocks.put(hash, true));
        List<Long> dropped = new ArrayList<>();
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() - dropped.size() > maxBlocks) {
            dropped.add(oldest.next());
        }
        dropped.forEach(blocks::remove);
        return dropped;
    }

    void clear() {
        blocks.clear();
    }
}

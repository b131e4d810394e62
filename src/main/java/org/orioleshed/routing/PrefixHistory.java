package org.orioleshed.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Work;

/** Records which servers were sent which prompt prefixes, in a bounded least-recently-used map. */
final class PrefixHistory {
    private final Lru lru;

    PrefixHistory(int maxBlocks) {
        lru = new Lru(maxBlocks);
    }

    /** Records that {@code server} was sent the prefixes. */
    void sent(ServerId server, List<Long> prefixHashes) {
        for (Long hash : prefixHashes) {
            Holders previous = lru.get(hash);
            lru.put(hash, previous == null ? new Holders(server, server) : previous.with(server));
        }
    }

    /**
     * Returns the length in tokens of the longest prefix of the prompt that each server was sent,
     * for the last two servers of each prefix.
     *
     * @param prefixHashes the prompt's prefixes, the shortest first
     */
    Map<ServerId, Integer> cachedTokens(List<Long> prefixHashes) {
        Map<ServerId, Integer> cached = new HashMap<>();
        for (int i = prefixHashes.size() - 1; i >= 0; i--) {
            Holders holders = lru.get(prefixHashes.get(i));
            if (holders != null) {
                int tokens = (i + 1) * Work.PREFIX_BLOCK_TOKENS;
                cached.putIfAbsent(holders.latest(), tokens);
                cached.putIfAbsent(holders.earlier(), tokens);
            }
        }
        return cached;
    }

    int size() {
        return lru.size();
    }

    /** The last two servers that were sent a prefix. */
    private record Holders(ServerId latest, ServerId earlier) {
        Holders with(ServerId server) {
            return server.equals(latest) ? this : new Holders(server, latest);
        }
    }

    private static final class Lru extends LinkedHashMap<Long, Holders> {
        private static final long serialVersionUID = 1L;

        private final int maxBlocks;

        Lru(int maxBlocks) {
            super(16, 0.75f, true);
            this.maxBlocks = maxBlocks;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
            return size() > maxBlocks;
        }
    }
}

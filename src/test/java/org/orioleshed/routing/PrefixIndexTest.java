package org.orioleshed.routing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.orioleshed.model.Work;
import org.testng.annotations.Test;

/**
 * Tests of {@link PrefixIndex}: the estimate of cached tokens after evictions and gaps in the
 * reports.
 */
public class PrefixIndexTest {
    private static final int BLOCK_TOKENS = Work.PREFIX_BLOCK_TOKENS;

    private final List<Long> prompt = List.of(1L, 2L, 3L, 4L);

    @Test
    public void keepsNoMoreBlocksThanTheCache() {
        PrefixIndex index = new PrefixIndex(3 * BLOCK_TOKENS);
        index.sent(prompt);
        assertEquals(index.size(), 3);
        assertEquals(index.cachedTokens(prompt), 3 * BLOCK_TOKENS);
    }

    @Test
    public void countsLeadingBlocksOnly() {
        PrefixIndex index = new PrefixIndex(100 * BLOCK_TOKENS);
        index.sent(prompt);
        index.reported(List.of(), List.of(2L), false);
        assertEquals(index.cachedTokens(prompt), BLOCK_TOKENS);
        assertEquals(index.cachedTokens(List.of(9L, 2L)), 0);
    }

    @Test
    public void gapInTheReportsHalvesTheConfidence() {
        PrefixIndex index = new PrefixIndex(100 * BLOCK_TOKENS);
        index.sent(prompt);
        index.reported(List.of(), List.of(), true);
        assertEquals(index.cachedTokens(prompt), 2 * BLOCK_TOKENS);
        for (int i = 0; i < 10; i++) {
            index.reported(List.of(), List.of(), false);
        }
        assertEquals(index.cachedTokens(prompt), 4 * BLOCK_TOKENS);
    }
}

package org.orioleshed.model;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;

/** Splits a prompt into blocks of tokens and hashes its prefixes, as prefix caches do. */
public final class PromptBlocks {
    private PromptBlocks() {}

    /**
     * Returns the number of tokens in {@code prompt}, where a token is a sequence of characters
     * without whitespace.
     */
    public static int tokens(String prompt) {
        int count = 0;
        boolean inToken = false;
        for (int i = 0; i < prompt.length(); i++) {
            boolean isSpace = Character.isWhitespace(prompt.charAt(i));
            if (!isSpace && !inToken) {
                count++;
            }
            inToken = !isSpace;
        }
        return count;
    }

    /**
     * Returns a hash for each prefix of whole blocks of {@link Work#PREFIX_BLOCK_TOKENS} tokens,
     * the shortest first.
     */
    public static List<Long> hashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        int tokens = 0;
        long previous = 0;
        int blockStart = 0;
        for (int i = 0; i < prompt.length(); i++) {
            boolean endsToken =
                    !Character.isWhitespace(prompt.charAt(i))
                            && (i + 1 == prompt.length()
                                    || Character.isWhitespace(prompt.charAt(i + 1)));
            if (!endsToken) {
                continue;
            }
            tokens++;
            if (tokens % Work.PREFIX_BLOCK_TOKENS == 0) {
                previous = chainHash(previous, prompt, blockStart, i + 1);
                hashes.add(previous);
                blockStart = i + 1;
            }
        }
        return hashes;
    }

    private static long chainHash(long previous, String prompt, int start, int end) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(previous)
                .putUnencodedChars(prompt.subSequence(start, end))
                .hash()
                .asLong();
    }
}

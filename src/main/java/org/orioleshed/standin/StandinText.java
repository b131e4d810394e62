package org.orioleshed.standin;

import com.google.common.hash.Hashing;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text that stand-in engines generate. Each token is a pure function of the prompt and its
 * offset, independent of the engine and version, so that callers can verify a complete answer.
 */
public final class StandinText {
    private static final Pattern LENGTH = Pattern.compile("(?:^|\\s)length=(\\d{1,6})(?=\\s|$)");
    private static final Pattern TAG = Pattern.compile("(?:^|\\s)tag=(\\S+)");
    private static final long SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15L;
    private static final int WORD_RADIX = 36;
    private static final int WORD_BITS = 24;

    private StandinText() {}

    /** Returns the seed of the answer to {@code prompt}. */
    public static long seed(String prompt) {
        return Hashing.murmur3_128().hashUnencodedChars(prompt).asLong();
    }

    /** Returns the token at {@code offset}, with a trailing space. */
    public static String token(long seed, int offset) {
        long mixed = seed + SPLITMIX_INCREMENT * (offset + 1L);
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return Long.toString(mixed >>> (Long.SIZE - WORD_BITS), WORD_RADIX) + " ";
    }

    /** Returns the complete answer of {@code tokens} tokens to {@code prompt}. */
    public static String answer(String prompt, int tokens) {
        long seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int offset = 0; offset < tokens; offset++) {
            text.append(token(seed, offset));
        }
        return text.toString();
    }

    /**
     * Returns the length of the answer in tokens: the last {@code length=N} in the prompt, or
     * {@code maxTokens} if there is none, limited to 1 through {@code maxTokens}.
     */
    public static int length(String prompt, int maxTokens) {
        Matcher matcher = LENGTH.matcher(prompt);
        OptionalInt requestedTokens = OptionalInt.empty();
        while (matcher.find()) {
            requestedTokens = OptionalInt.of(Integer.parseInt(matcher.group(1)));
        }
        return Math.max(1, Math.min(maxTokens, requestedTokens.orElse(maxTokens)));
    }

    /** Returns the first {@code tag=...} in the text, or {@code defaultTag} if there is none. */
    public static String tag(String text, String defaultTag) {
        Matcher matcher = TAG.matcher(text);
        return matcher.find() ? matcher.group(1) : defaultTag;
    }
}

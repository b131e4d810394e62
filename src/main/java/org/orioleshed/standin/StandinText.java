package org.orioleshed.standin;

import com.google.common.hash.Hashing;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text that every stand-in engine generates: a pure function of the prompt and the token's
 * place, whatever the engine or version, so that a whole answer can be checked from outside.
 */
public final class StandinText {
    private static final Pattern LENGTH = Pattern.compile("(?:^|\\s)length=(\\d{1,6})(?=\\s|$)");
    private static final Pattern TAG = Pattern.compile("(?:^|\\s)tag=(\\S+)");
    private static final long STEP = 0x9E3779B97F4A7C15L;
    private static final int WORD_RADIX = 36;
    private static final int WORD_BITS = 24;

    private StandinText() {}

    /** Returns the seed of the answer to {@code prompt}. */
    public static long seed(String prompt) {
        return Hashing.murmur3_128().hashUnencodedChars(prompt).asLong();
    }

    /** Returns the token at {@code offset}, with the blank that follows it. */
    public static String token(long seed, int offset) {
        long mixed = seed + STEP * (offset + 1L);
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return Long.toString(mixed >>> (Long.SIZE - WORD_BITS), WORD_RADIX) + " ";
    }

    /** Returns the whole answer of {@code tokens} tokens to {@code prompt}. */
    public static String answer(String prompt, int tokens) {
        long seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int offset = 0; offset < tokens; offset++) {
            text.append(token(seed, offset));
        }
        return text.toString();
    }

    /**
     * Returns the length of the answer in tokens: what {@code length=N} in the prompt says, at most
     * {@code maxTokens}.
     */
    public static int length(String prompt, int maxTokens) {
        Matcher matcher = LENGTH.matcher(prompt);
        OptionalInt wanted = OptionalInt.empty();
        while (matcher.find()) {
            wanted = OptionalInt.of(Integer.parseInt(matcher.group(1)));
        }
        return Math.max(1, Math.min(maxTokens, wanted.orElse(maxTokens)));
    }

    /** Returns what {@code tag=...} in the text names, or {@code otherwise}. */
    public static String tag(String text, String otherwise) {
        Matcher matcher = TAG.matcher(text);
        return matcher.find() ? matcher.group(1) : otherwise;
    }
}

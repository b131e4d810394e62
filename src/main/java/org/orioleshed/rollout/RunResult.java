package org.orioleshed.rollout;

import org.orioleshed.model.Fingerprint;

/**
 * Result of a run on a backend server, used as evidence about the server's version.
 *
 * @param verdict how the run ended
 * @param millis the time from the engine's acceptance to the end, in milliseconds
 * @param firstTokenMillis the time from the engine's acceptance to the first token, in
 *     milliseconds; negative when there was none or it is unknown
 * @param outputTokens the tokens generated; zero for a plain service
 * @param promptTokens the length of the prompt, in tokens; zero for a plain service
 * @param cachedTokens the cached part of the prompt, in tokens, as far as known
 * @param load the fraction of the server's slots that were occupied when the run started; negative
 *     when unknown
 * @param fingerprint the digest of the content
 */
public record RunResult(
        Verdict verdict,
        long millis,
        long firstTokenMillis,
        int outputTokens,
        int promptTokens,
        int cachedTokens,
        double load,
        Fingerprint fingerprint) {
    /** Number of prompt tokens that take an engine about as long as one output token. */
    private static final int PREFILL_TOKENS_PER_OUTPUT_TOKEN = 16;

    /** The least output tokens for a meaningful time per token. */
    private static final int MIN_DECODE_TOKENS = 8;

    /** Checks the arguments. */
    public RunResult {
        if (verdict == null || fingerprint == null) {
            throw new IllegalArgumentException("verdict and fingerprint must be given");
        }
        if (millis < 0 || outputTokens < 0 || promptTokens < 0 || cachedTokens < 0) {
            throw new IllegalArgumentException("millis and token counts must not be negative");
        }
    }

    /** Creates a result whose time to the first token is unknown. */
    public RunResult(
            Verdict verdict,
            long millis,
            int outputTokens,
            int promptTokens,
            int cachedTokens,
            double load,
            Fingerprint fingerprint) {
        this(verdict, millis, -1, outputTokens, promptTokens, cachedTokens, load, fingerprint);
    }

    /**
     * Returns whether the run can be compared by its time per token after the first. This time does
     * not depend on how much of the prompt was cached, so a new version with cold caches is
     * compared fairly.
     */
    boolean hasDecodeTime() {
        return firstTokenMillis >= 0
                && firstTokenMillis <= millis
                && outputTokens >= MIN_DECODE_TOKENS;
    }

    /**
     * Returns the time per token after the first if it is known, otherwise per token of work, in
     * milliseconds.
     */
    double millisPerToken() {
        return hasDecodeTime()
                ? (double) (millis - firstTokenMillis) / (outputTokens - 1)
                : millis / workTokens();
    }

    /** Returns the work of the run in equivalent output tokens; at least one. */
    double workTokens() {
        int uncached = Math.max(0, promptTokens - cachedTokens);
        return Math.max(1, outputTokens + (double) uncached / PREFILL_TOKENS_PER_OUTPUT_TOKEN);
    }

    /** How a run ended. */
    public enum Verdict {
        /** The answer was complete. */
        OK,
        /** The backend server answered with an error or stopped sending. */
        FAILED,
        /** The backend server crashed during the run. */
        CRASHED,
        /**
         * The run was ended from outside: deadline exceeded, caller disconnected, or preempted.
         * Never counts as a failure, but counts as slow if it had already taken too long.
         */
        INTERRUPTED
    }
}

package org.orioleshed.rollout;

import org.orioleshed.model.Fingerprint;

/**
 * How one run on a backend server went, as evidence about the server's version.
 *
 * @param verdict how the run ended
 * @param millis the time from the engine's acceptance to the end, in milliseconds
 * @param firstTokenMillis the time from the engine's acceptance to the first token, in
 *     milliseconds; negative when there was none or it is unknown
 * @param outputTokens the tokens generated; zero for a plain service
 * @param promptTokens the length of the prompt; zero for a plain service
 * @param cachedTokens the part of the prompt that the engine had cached, as far as known
 * @param load the share of the server's places taken when the run started; negative when unknown
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
    /** Prompt tokens that take an engine about as long as one output token. */
    private static final int PREFILL_PER_OUTPUT = 16;

    /** The least tokens from which the time between them says enough. */
    private static final int PACE_TOKENS = 8;

    /** Checks the arguments. */
    public RunResult {
        if (verdict == null || fingerprint == null) {
            throw new IllegalArgumentException("verdict and fingerprint must be given");
        }
        if (millis < 0 || outputTokens < 0 || promptTokens < 0 || cachedTokens < 0) {
            throw new IllegalArgumentException("time and tokens must not be negative");
        }
    }

    /** Makes one whose time to the first token is unknown. */
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
     * Returns whether the run can be judged by its tokens after the first alone. They do not depend
     * on what the engine had cached of the prompt, so that a new version with cold caches is
     * compared fairly.
     */
    boolean hasPace() {
        return firstTokenMillis >= 0 && firstTokenMillis <= millis && outputTokens >= PACE_TOKENS;
    }

    /** Returns the time for a unit of work, in milliseconds. */
    double pace() {
        return hasPace()
                ? (double) (millis - firstTokenMillis) / (outputTokens - 1)
                : millis / work();
    }

    /** Returns the work that the run took, in output tokens; at least one. */
    double work() {
        int uncached = Math.max(0, promptTokens - cachedTokens);
        return Math.max(1, outputTokens + (double) uncached / PREFILL_PER_OUTPUT);
    }

    /** How a run ended. */
    public enum Verdict {
        /** The whole answer came. */
        OK,
        /** The backend server answered with an error, or went silent. */
        FAILED,
        /** The backend server went down while the run was on it. */
        CRASHED,
        /**
         * The run was ended from outside: deadline, caller gone, preempted. Never a failure; its
         * time still counts as slow when it was already too long.
         */
        CUT
    }
}

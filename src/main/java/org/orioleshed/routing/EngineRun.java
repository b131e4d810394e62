package org.orioleshed.routing;

import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;

/** A run that holds a slot on an engine, until the engine is confirmed to have ended it. */
final class EngineRun {
    /** Why a run is being stopped. */
    enum StopReason {
        /** The run is not being stopped. */
        NONE,
        /** The accepting host cancelled the run. */
        REQUESTED,
        /** A more urgent request needs the slot. */
        PREEMPTED,
        /** The engine sent no token within the timeout. */
        STALLED,
        /** The connection broke, and the engine may still work on the run. */
        CONNECTION_LOST,
        /** The accepting host is gone, or the deadline passed more than the grace period ago. */
        ORPHANED
    }

    private final WaitingOffer waiting;
    private final int resumeFromToken;
    private final int uncachedTokens;
    private final long startedNanos;
    private final long prefillMillis;
    private long firstTokenNanos = -1;
    private long lastTokenNanos;
    private int nextToken;
    private int sentTokens;
    private int creditTokens;
    private boolean paused;
    private boolean gapInvalid;
    private StopReason stopReason = StopReason.NONE;
    private boolean endReported;
    private long stopNanos;
    private long lastCancelNanos;

    EngineRun(
            WaitingOffer waiting,
            int resumeFromToken,
            int creditTokens,
            int uncachedTokens,
            long startedNanos,
            long prefillMillis) {
        this.waiting = waiting;
        this.resumeFromToken = resumeFromToken;
        this.creditTokens = creditTokens;
        this.uncachedTokens = uncachedTokens;
        this.startedNanos = startedNanos;
        this.prefillMillis = prefillMillis;
        lastTokenNanos = startedNanos;
        nextToken = resumeFromToken;
    }

    WaitingOffer waiting() {
        return waiting;
    }

    RunId run() {
        return waiting.run();
    }

    HostId from() {
        return waiting.from();
    }

    int rank() {
        return waiting.rank();
    }

    int resumeFromToken() {
        return resumeFromToken;
    }

    /**
     * Returns the number of prompt tokens that were not expected in the prefix cache at the start.
     */
    int uncachedTokens() {
        return uncachedTokens;
    }

    long startedNanos() {
        return startedNanos;
    }

    boolean hasTokens() {
        return firstTokenNanos >= 0;
    }

    long lastTokenNanos() {
        return lastTokenNanos;
    }

    /** Returns the offset after the last token received from the engine. */
    int nextToken() {
        return nextToken;
    }

    int generatedTokens() {
        return nextToken - resumeFromToken;
    }

    boolean paused() {
        return paused;
    }

    StopReason stopReason() {
        return stopReason;
    }

    boolean stopping() {
        return stopReason != StopReason.NONE;
    }

    long stopNanos() {
        return stopNanos;
    }

    long lastCancelNanos() {
        return lastCancelNanos;
    }

    /** Returns whether the end was reported to the accepting host. */
    boolean endReported() {
        return endReported;
    }

    void markEndReported() {
        endReported = true;
    }

    void stop(StopReason reason, long nowNanos) {
        if (stopReason == StopReason.NONE) {
            stopNanos = nowNanos;
        }
        stopReason = reason;
        lastCancelNanos = nowNanos;
    }

    void recordCancelRetry(long nowNanos) {
        lastCancelNanos = nowNanos;
    }

    /**
     * Records tokens from the engine.
     *
     * @return the time per token since the previous ones, in microseconds; negative when it is no
     *     measure of the engine's speed
     */
    long tokens(int firstToken, int count, long nowNanos) {
        long micros = (nowNanos - lastTokenNanos) / 1_000 / Math.max(1, count);
        boolean valid = hasTokens() && !gapInvalid;
        if (!hasTokens()) {
            firstTokenNanos = nowNanos;
        }
        lastTokenNanos = nowNanos;
        gapInvalid = paused;
        nextToken = Math.max(nextToken, firstToken + count);
        sentTokens += count;
        return valid ? micros : -1;
    }

    void addCredit(int tokens) {
        creditTokens = (int) Math.min(Integer.MAX_VALUE, (long) creditTokens + tokens);
    }

    boolean creditSpent() {
        return sentTokens >= creditTokens;
    }

    void setPaused(boolean newPaused, long nowNanos) {
        paused = newPaused;
        gapInvalid = true;
        lastTokenNanos = nowNanos;
    }

    /**
     * Returns the expected time until the run ends, in milliseconds.
     *
     * @param expectedTokens the expected length of the answer, in tokens
     * @param gapMicros the time between tokens, in microseconds
     */
    long remainingMillis(long nowNanos, int expectedTokens, long gapMicros) {
        // Answer lengths are heavy-tailed: a run near or past its estimate is expected to go on
        // for a quarter of it.
        int remainingTokens = Math.max(expectedTokens - generatedTokens(), expectedTokens / 4);
        long remainingPrefillMillis = 0;
        if (!hasTokens()) {
            long elapsedMillis = (nowNanos - startedNanos) / DecisionContext.NANOS_PER_MILLI;
            remainingPrefillMillis = Math.max(0, prefillMillis - elapsedMillis);
        }
        return remainingPrefillMillis + remainingTokens * gapMicros / 1_000;
    }

    /**
     * Returns the work that would have to be repeated if the run were stopped now, in milliseconds.
     */
    long wasteMillis(long nowNanos, boolean canResume, long gapMicros) {
        long elapsedMillis = (nowNanos - startedNanos) / DecisionContext.NANOS_PER_MILLI;
        long wastedPrefillMillis =
                hasTokens() ? prefillMillis : Math.min(prefillMillis, elapsedMillis);
        return wastedPrefillMillis + (canResume ? 0 : generatedTokens() * gapMicros / 1_000);
    }
}

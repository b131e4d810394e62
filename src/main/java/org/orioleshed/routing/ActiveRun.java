package org.orioleshed.routing;

import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;

/** A run that holds a place on an engine, until the engine is known to be done with it. */
final class ActiveRun {
    /** What a run is on its way to. */
    enum StopReason {
        /** Not to be stopped. */
        NONE,
        /** The accepting host wished it. */
        REQUESTED,
        /** A more urgent request needs the place. */
        PREEMPTED,
        /** The engine sent nothing for too long. */
        STALLED,
        /** The connection broke and the engine may still be at it. */
        BROKEN,
        /** The accepting host is gone, or the deadline is long past. */
        ABANDONED
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
    private StopReason stop = StopReason.NONE;
    private boolean endReported;
    private long stopNanos;
    private long lastCancelNanos;

    ActiveRun(
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

    /** Returns how many tokens of the prompt the engine had to prefill. */
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

    /** Returns the offset after the last token that was passed on. */
    int nextToken() {
        return nextToken;
    }

    int generatedTokens() {
        return nextToken - resumeFromToken;
    }

    boolean paused() {
        return paused;
    }

    StopReason stop() {
        return stop;
    }

    boolean stopping() {
        return stop != StopReason.NONE;
    }

    long stopNanos() {
        return stopNanos;
    }

    long lastCancelNanos() {
        return lastCancelNanos;
    }

    /** Returns whether the accepting host was told of the end before the engine confirmed it. */
    boolean endReported() {
        return endReported;
    }

    void markEndReported() {
        endReported = true;
    }

    void stop(StopReason reason, long nowNanos) {
        if (stop == StopReason.NONE) {
            stopNanos = nowNanos;
        }
        stop = reason;
        lastCancelNanos = nowNanos;
    }

    void cancelRepeated(long nowNanos) {
        lastCancelNanos = nowNanos;
    }

    /**
     * Notes tokens from the engine.
     *
     * @return the time for each of them since the last, in microseconds; negative when it tells
     *     nothing of the engine's speed
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

    void setPaused(boolean nowPaused, long nowNanos) {
        paused = nowPaused;
        gapInvalid = true;
        lastTokenNanos = nowNanos;
    }

    /**
     * Returns the expected time until the run ends, in milliseconds.
     *
     * @param expected the expected length of the answer, in tokens
     * @param gapMicros the time between tokens, in microseconds
     */
    long remainingMillis(long nowNanos, int expected, long gapMicros) {
        // Lengths are heavy-tailed: what outlived its estimate goes on for a good while.
        int tokens = Math.max(expected - generatedTokens(), expected / 4);
        long prefill = 0;
        if (!hasTokens()) {
            long elapsedMillis = (nowNanos - startedNanos) / DecisionContext.NANOS_PER_MILLI;
            prefill = Math.max(0, prefillMillis - elapsedMillis);
        }
        return prefill + tokens * gapMicros / 1_000;
    }

    /** Returns the work that would be done again if the run were stopped now, in milliseconds. */
    long wasteMillis(long nowNanos, boolean canResume, long gapMicros) {
        long elapsedMillis = (nowNanos - startedNanos) / DecisionContext.NANOS_PER_MILLI;
        long prefill = hasTokens() ? prefillMillis : Math.min(prefillMillis, elapsedMillis);
        return prefill + (canResume ? 0 : generatedTokens() * gapMicros / 1_000);
    }
}

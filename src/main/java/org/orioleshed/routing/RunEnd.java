package org.orioleshed.routing;

/** How a run on a model engine ended. */
public sealed interface RunEnd {
    /**
     * The engine sent its whole answer.
     *
     * @param totalTokens the length of the whole answer, resumed parts included
     */
    record Finished(int totalTokens) implements RunEnd {}

    /**
     * The engine confirmed that the run is cancelled, on the accepting host's wish.
     *
     * @param prefillTokensWasted tokens prefilled in vain
     */
    record Cancelled(int prefillTokensWasted) implements RunEnd {}

    /**
     * The owner cancelled the run in favour of a more urgent one, and the engine confirmed it.
     *
     * @param deliveredTokens tokens sent so far; the next attempt resumes there
     */
    record Preempted(int deliveredTokens) implements RunEnd {}

    /** The run never reached the engine. */
    record NeverStarted() implements RunEnd {}

    /**
     * The engine answered with an error and does not work on the run.
     *
     * @param retryable whether another server may do better
     * @param detail the engine's words
     */
    record EngineError(boolean retryable, String detail) implements RunEnd {}

    /**
     * The connection broke or the engine crashed while the run was on it.
     *
     * @param crashed whether the engine itself went down
     * @param confirmedEnded whether it is known that the engine no longer works on the run
     */
    record Broken(boolean crashed, boolean confirmedEnded) implements RunEnd {}
}

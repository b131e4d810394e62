package org.orioleshed.routing;

/** How a run on a model engine ended. */
public sealed interface RunEnd {
    /**
     * The engine sent the whole answer.
     *
     * @param totalTokens the length of the whole answer, resumed parts included
     */
    record Finished(int totalTokens) implements RunEnd {}

    /**
     * The run was cancelled at the accepting host's request, and the engine confirmed it.
     *
     * @param prefillTokensWasted the number of prefilled tokens that were wasted
     */
    record Cancelled(int prefillTokensWasted) implements RunEnd {}

    /**
     * The owner cancelled the run in favour of a more urgent one, and the engine confirmed it.
     *
     * @param deliveredTokens the number of tokens sent so far; the next attempt resumes there
     */
    record Preempted(int deliveredTokens) implements RunEnd {}

    /** The run never reached the engine. */
    record NeverStarted() implements RunEnd {}

    /**
     * The engine answered with an error and does not work on the run.
     *
     * @param retryable whether an attempt on another server may succeed
     * @param detail the engine's error message
     */
    record EngineError(boolean retryable, String detail) implements RunEnd {}

    /**
     * The connection broke or the engine crashed while the run was on it.
     *
     * @param crashed whether the engine itself crashed
     * @param confirmedEnded whether the engine is confirmed to work on the run no longer
     */
    record Broken(boolean crashed, boolean confirmedEnded) implements RunEnd {}
}

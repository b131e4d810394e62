package org.orioleshed.standin;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.orioleshed.model.PromptBlocks;

/** A run on a stand-in engine. Guarded by the engine's lock, except the queue of stream events. */
final class EngineRun {
    /** An event of the output stream of a run. */
    sealed interface StreamEvent {
        record Token(int offset) implements StreamEvent {}

        record Done() implements StreamEvent {}

        record Aborted() implements StreamEvent {}
    }

    enum State {
        WAITING,
        PREFILL,
        DECODE,
        FINISHED,
        CANCELLED
    }

    final String id;
    final String tag;
    final String prompt;
    final long seed;
    final int promptTokens;
    final List<Long> blocks;
    final int answerTokens;
    final int resumeFrom;
    final LinkedBlockingQueue<StreamEvent> streamEvents = new LinkedBlockingQueue<>();
    State state = State.WAITING;
    int remainingPrefillTokens;
    int prefilledTokens;
    int nextOffset;
    long startedMillis;
    long endedMillis;
    volatile boolean stalled;

    EngineRun(String id, String prompt, int maxTokens, int resumeFrom) {
        this.id = id;
        this.tag = StandinText.tag(prompt, id);
        this.prompt = prompt;
        this.seed = StandinText.seed(prompt);
        this.promptTokens = PromptBlocks.tokens(prompt);
        this.blocks = PromptBlocks.hashes(prompt);
        this.answerTokens = StandinText.length(prompt, maxTokens);
        this.resumeFrom = resumeFrom;
        this.nextOffset = resumeFrom;
    }

    boolean ended() {
        return state == State.FINISHED || state == State.CANCELLED;
    }
}

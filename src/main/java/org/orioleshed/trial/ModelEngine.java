package org.orioleshed.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine without clock or sockets: admits in order of arrival to a batch of bounded size, reads
 * prompts in chunks beside the steps of the others, and puts its newest run back when its memory is
 * full.
 */
final class ModelEngine {
    static final long NANOS_PER_MILLI = 1_000_000;

    /** The most prompt tokens read in one step. */
    private static final int CHUNK_TOKENS = 512;

    private final Spec spec;
    private final Listener listener;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<Run, Integer> plannedReads = new HashMap<>();
    private final List<Run> plannedSteps = new ArrayList<>();
    private double slowness = 1;
    private boolean stepping;

    /**
     * What an engine can do.
     *
     * @param slots the most runs at once
     * @param memoryTokens the most tokens held by its runs
     * @param eventTokens the tokens that one event of a stream holds
     * @param stepMillis a step with one run, in milliseconds
     * @param stepMillisPerRun what each further run adds
     * @param readTokensPerMilli how fast prompts are read
     * @param speed divides all times
     */
    record Spec(
            int slots,
            long memoryTokens,
            int eventTokens,
            double stepMillis,
            double stepMillisPerRun,
            double readTokensPerMilli,
            double speed) {
        Spec withSpeed(double newSpeed) {
            return new Spec(
                    slots,
                    memoryTokens,
                    eventTokens,
                    stepMillis,
                    stepMillisPerRun,
                    readTokensPerMilli,
                    newSpeed);
        }
    }

    /** Hears of events and ends, at the end of the step that brought them. */
    interface Listener {
        void event(TrialRequest request, int events);

        void ended(TrialRequest request, int events);
    }

    private static final class Run {
        private final TrialRequest request;
        private int toRead;
        private int generated;

        Run(TrialRequest request) {
            this.request = request;
            this.toRead = request.kind.promptTokens();
        }

        long tokens() {
            return (long) request.kind.promptTokens() + generated;
        }

        boolean isRead() {
            return toRead == 0;
        }
    }

    ModelEngine(Spec spec, Listener listener) {
        this.spec = spec;
        this.listener = listener;
    }

    int slots() {
        return spec.slots();
    }

    /** Returns how many runs it has, waiting ones included. */
    int load() {
        return running.size() + waiting.size();
    }

    void slowness(double newSlowness) {
        slowness = newSlowness;
    }

    /** Takes a run; returns whether the engine was idle and its first step is to be begun. */
    boolean submit(TrialRequest request) {
        waiting.add(new Run(request));
        return !stepping;
    }

    /** Ends a run whose caller has left. */
    void cancel(TrialRequest request) {
        waiting.removeIf(run -> run.request == request);
        running.removeIf(run -> run.request == request);
        plannedReads.keySet().removeIf(run -> run.request == request);
        plannedSteps.removeIf(run -> run.request == request);
    }

    /** Plans a step and returns its length in nanoseconds; 0 where there is nothing to do. */
    long begin() {
        makeRoom();
        while (running.size() < spec.slots() && !waiting.isEmpty() && fits(waiting.peek())) {
            running.add(waiting.poll());
        }
        int room = CHUNK_TOKENS;
        for (Run run : running) {
            if (run.isRead()) {
                plannedSteps.add(run);
                continue;
            }
            int chunk = Math.min(room, run.toRead);
            if (chunk > 0) {
                plannedReads.put(run, chunk);
                room -= chunk;
            }
        }
        stepping = !running.isEmpty();
        return stepNanos(CHUNK_TOKENS - room);
    }

    private long stepNanos(int readTokens) {
        if (running.isEmpty()) {
            return 0;
        }
        double millis = readTokens / spec.readTokensPerMilli();
        if (!plannedSteps.isEmpty()) {
            millis += spec.stepMillis() + spec.stepMillisPerRun() * (plannedSteps.size() - 1);
        }
        return Math.max(1, (long) (millis * NANOS_PER_MILLI * slowness / spec.speed()));
    }

    private long held() {
        return running.stream().mapToLong(Run::tokens).sum();
    }

    private boolean fits(Run run) {
        return running.isEmpty() || held() + run.tokens() <= spec.memoryTokens();
    }

    private void makeRoom() {
        while (running.size() > 1 && held() > spec.memoryTokens()) {
            Run newest = running.removeLast();
            newest.toRead = (int) newest.tokens();
            waiting.addFirst(newest);
        }
    }

    /** Ends the step that was planned. */
    void end() {
        stepping = false;
        plannedReads.forEach((run, tokens) -> run.toRead -= tokens);
        plannedReads.clear();
        List<Run> stepped = List.copyOf(plannedSteps);
        plannedSteps.clear();
        stepped.forEach(this::step);
    }

    private void step(Run run) {
        run.generated++;
        boolean over = run.generated >= run.request.kind.outputTokens();
        int events = (run.generated + spec.eventTokens() - 1) / spec.eventTokens();
        if (over) {
            running.remove(run);
            listener.ended(run.request, events);
        } else if (run.generated % spec.eventTokens() == 0) {
            listener.event(run.request, events);
        }
    }
}

package org.orioleshed.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated engine without clock or sockets. Admits runs in order of arrival to a batch of
 * bounded size, interleaves chunked prefill with the decode steps of other runs, and preempts the
 * newest run when the memory is full.
 */
final class SimulatedEngine {
    static final long NANOS_PER_MILLI = 1_000_000;

    /** The maximum number of prefill tokens in one step. */
    private static final int PREFILL_CHUNK_TOKENS = 512;

    private final Spec spec;
    private final Listener listener;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<Run, Integer> plannedPrefill = new HashMap<>();
    private final List<Run> plannedDecode = new ArrayList<>();
    private double slowdown = 1;
    private boolean stepping;

    /**
     * The capacity and speed of an engine.
     *
     * @param slots the maximum number of runs in the batch
     * @param memoryTokens the maximum number of tokens held by runs in the batch
     * @param eventTokens the number of tokens in one stream event
     * @param stepMillis the duration of a decode step with one run, in milliseconds
     * @param stepMillisPerRun the duration added by each additional run, in milliseconds
     * @param prefillTokensPerMilli the prefill rate, in tokens per millisecond
     * @param speed the divisor of all durations
     */
    record Spec(
            int slots,
            long memoryTokens,
            int eventTokens,
            double stepMillis,
            double stepMillisPerRun,
            double prefillTokensPerMilli,
            double speed) {
        Spec withSpeed(double newSpeed) {
            return new Spec(
                    slots,
                    memoryTokens,
                    eventTokens,
                    stepMillis,
                    stepMillisPerRun,
                    prefillTokensPerMilli,
                    newSpeed);
        }
    }

    /** Receives the events of runs at the end of each step. */
    interface Listener {
        void onEvent(TrialRequest request, int events);

        void onCompleted(TrialRequest request, int events);
    }

    private static final class Run {
        private final TrialRequest request;
        private int remainingPrefillTokens;
        private int generatedTokens;

        Run(TrialRequest request) {
            this.request = request;
            this.remainingPrefillTokens = request.kind.promptTokens();
        }

        long tokens() {
            return (long) request.kind.promptTokens() + generatedTokens;
        }

        boolean isPrefilled() {
            return remainingPrefillTokens == 0;
        }
    }

    SimulatedEngine(Spec spec, Listener listener) {
        this.spec = spec;
        this.listener = listener;
    }

    int slots() {
        return spec.slots();
    }

    /** Returns the number of runs, waiting ones included. */
    int load() {
        return running.size() + waiting.size();
    }

    void setSlowdown(double newSlowdown) {
        slowdown = newSlowdown;
    }

    /** Submits a run; returns whether no step is in progress, so that the caller must begin one. */
    boolean submit(TrialRequest request) {
        waiting.add(new Run(request));
        return !stepping;
    }

    /** Removes the run of a request. */
    void cancel(TrialRequest request) {
        waiting.removeIf(run -> run.request == request);
        running.removeIf(run -> run.request == request);
        plannedPrefill.keySet().removeIf(run -> run.request == request);
        plannedDecode.removeIf(run -> run.request == request);
    }

    /** Begins a step and returns its duration in nanoseconds; 0 if there are no runs. */
    long beginStep() {
        preemptWhileMemoryIsFull();
        while (running.size() < spec.slots() && !waiting.isEmpty() && fits(waiting.peek())) {
            running.add(waiting.poll());
        }
        int remainingChunkTokens = PREFILL_CHUNK_TOKENS;
        for (Run run : running) {
            if (run.isPrefilled()) {
                plannedDecode.add(run);
                continue;
            }
            int chunk = Math.min(remainingChunkTokens, run.remainingPrefillTokens);
            if (chunk > 0) {
                plannedPrefill.put(run, chunk);
                remainingChunkTokens -= chunk;
            }
        }
        stepping = !running.isEmpty();
        return stepNanos(PREFILL_CHUNK_TOKENS - remainingChunkTokens);
    }

    private long stepNanos(int prefillTokens) {
        if (running.isEmpty()) {
            return 0;
        }
        double millis = prefillTokens / spec.prefillTokensPerMilli();
        if (!plannedDecode.isEmpty()) {
            millis += spec.stepMillis() + spec.stepMillisPerRun() * (plannedDecode.size() - 1);
        }
        return Math.max(1, (long) (millis * NANOS_PER_MILLI * slowdown / spec.speed()));
    }

    private long heldTokens() {
        return running.stream().mapToLong(Run::tokens).sum();
    }

    private boolean fits(Run run) {
        return running.isEmpty() || heldTokens() + run.tokens() <= spec.memoryTokens();
    }

    private void preemptWhileMemoryIsFull() {
        while (running.size() > 1 && heldTokens() > spec.memoryTokens()) {
            Run newest = running.removeLast();
            newest.remainingPrefillTokens = (int) newest.tokens();
            waiting.addFirst(newest);
        }
    }

    /** Ends the current step. */
    void endStep() {
        stepping = false;
        plannedPrefill.forEach((run, tokens) -> run.remainingPrefillTokens -= tokens);
        plannedPrefill.clear();
        List<Run> decoded = List.copyOf(plannedDecode);
        plannedDecode.clear();
        decoded.forEach(this::decode);
    }

    private void decode(Run run) {
        run.generatedTokens++;
        boolean isCompleted = run.generatedTokens >= run.request.kind.outputTokens();
        int events = (run.generatedTokens + spec.eventTokens() - 1) / spec.eventTokens();
        if (isCompleted) {
            running.remove(run);
            listener.onCompleted(run.request, events);
        } else if (run.generatedTokens % spec.eventTokens() == 0) {
            listener.onEvent(run.request, events);
        }
    }
}

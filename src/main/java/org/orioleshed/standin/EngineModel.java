package org.orioleshed.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orioleshed.standin.EngineRun.State;
import org.orioleshed.standin.EngineRun.StreamEvent;

/**
 * A simulated model engine without clock or sockets: continuous batching with chunked prefill,
 * first-come, first-served admission, and a prefix cache. Not thread-safe.
 */
final class EngineModel {
    /** The maximum number of prefill tokens in one step. */
    static final int PREFILL_CHUNK_TOKENS = 128;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    /** The result of submitting a run. */
    enum Admission {
        TAKEN,
        DUPLICATE,
        FAILED,
        CRASHED
    }

    private final EngineSpec spec;
    private final RandomGenerator random;
    private final PrefixCache cache;
    private final Deque<EngineRun> waiting = new ArrayDeque<>();
    private final List<EngineRun> running = new ArrayList<>();
    private final Map<EngineRun, Integer> plannedPrefill = new HashMap<>();
    private final List<EngineRun> plannedDecode = new ArrayList<>();
    private final Map<String, EngineRun> runs = new HashMap<>();
    private final CacheEvents cacheEvents = new CacheEvents();
    private EngineFaults faults = EngineFaults.NONE;
    private String version;
    private long submittedRuns;

    EngineModel(EngineSpec spec, RandomGenerator random) {
        this.spec = spec;
        this.random = random;
        this.version = spec.version();
        this.cache = new PrefixCache(spec.cacheTokens());
    }

    void setFaults(EngineFaults faults) {
        this.faults = faults;
    }

    void setVersion(String version) {
        this.version = version;
    }

    String version() {
        return version;
    }

    EngineFaults faults() {
        return faults;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    CacheEvents cacheEvents() {
        return cacheEvents;
    }

    /** Returns all runs that were accepted, ended ones included. */
    List<EngineRun> runs() {
        return List.copyOf(runs.values());
    }

    /** Submits a run, which is queued until the batch has a free slot. */
    Admission submit(EngineRun run) {
        if (runs.containsKey(run.id)) {
            return Admission.DUPLICATE;
        }
        submittedRuns++;
        if (faults.crashes(run.prompt)) {
            return Admission.CRASHED;
        }
        int runsOnEngine = running.size() + waiting.size();
        if (faults.fails(version, run.prompt, submittedRuns, runsOnEngine, random.nextDouble())) {
            return Admission.FAILED;
        }
        run.stalled = random.nextDouble() < faults.silentProbability();
        runs.put(run.id, run);
        waiting.add(run);
        return Admission.TAKEN;
    }

    /** Completes the planned step, admits waiting runs and plans the next step. */
    void step(long nowMillis) {
        plannedPrefill.forEach(this::prefill);
        plannedDecode.forEach(run -> decode(run, nowMillis));
        plannedPrefill.clear();
        plannedDecode.clear();
        running.removeIf(EngineRun::ended);
        while (running.size() < spec.maxBatch() && !waiting.isEmpty()) {
            admit(waiting.poll(), nowMillis);
        }
        plan();
    }

    /** Returns the duration of the planned step in nanoseconds, or -1 if no run is in the batch. */
    long stepNanos() {
        if (running.isEmpty()) {
            return -1;
        }
        double decodeMillis =
                plannedDecode.isEmpty()
                        ? 0
                        : spec.stepMillis() + spec.stepMillisPerRun() * (plannedDecode.size() - 1);
        double prefillNanos = 0;
        if (spec.prefillTokensPerSecond() > 0) {
            int tokens = plannedPrefill.values().stream().mapToInt(Integer::intValue).sum();
            prefillNanos = tokens * NANOS_PER_SECOND / spec.prefillTokensPerSecond();
        }
        double speed = faults.speed(version, submittedRuns, running.size());
        return (long) ((decodeMillis * NANOS_PER_MILLI + prefillNanos) / speed);
    }

    /** Cancels a run and returns it, or null if it is unknown. */
    EngineRun cancel(String runId, long nowMillis) {
        EngineRun run = runs.get(runId);
        if (run == null || run.ended()) {
            return run;
        }
        end(run, State.CANCELLED, nowMillis);
        waiting.remove(run);
        running.remove(run);
        plannedDecode.remove(run);
        plannedPrefill.remove(run);
        run.streamEvents.add(new StreamEvent.Aborted());
        return run;
    }

    /** Aborts all runs and clears the cache, like a process that crashes. */
    void crash(long nowMillis) {
        for (EngineRun run : runs()) {
            cancel(run.id, nowMillis);
        }
        cache.clear();
    }

    private void admit(EngineRun run, long nowMillis) {
        int neededTokens = run.promptTokens + run.resumeFrom;
        run.remainingPrefillTokens = Math.max(1, neededTokens - cache.cachedTokens(run.blocks));
        run.state = State.PREFILL;
        run.startedMillis = nowMillis;
        running.add(run);
    }

    private void plan() {
        int remainingTokens = PREFILL_CHUNK_TOKENS;
        for (EngineRun run : running) {
            if (run.state == State.DECODE) {
                plannedDecode.add(run);
                continue;
            }
            int chunk = Math.min(remainingTokens, run.remainingPrefillTokens);
            if (chunk > 0) {
                plannedPrefill.put(run, chunk);
                remainingTokens -= chunk;
            }
        }
    }

    private void prefill(EngineRun run, int tokens) {
        run.remainingPrefillTokens -= tokens;
        run.prefilledTokens += tokens;
        if (run.remainingPrefillTokens > 0) {
            return;
        }
        run.state = State.DECODE;
        cacheEvents.add(run.blocks, cache.store(run.blocks));
    }

    private void decode(EngineRun run, long nowMillis) {
        if (run.nextOffset < run.answerTokens) {
            run.streamEvents.add(new StreamEvent.Token(run.nextOffset));
            run.nextOffset++;
        }
        if (run.nextOffset >= run.answerTokens) {
            end(run, State.FINISHED, nowMillis);
            run.streamEvents.add(new StreamEvent.Done());
        }
    }

    private static void end(EngineRun run, State state, long nowMillis) {
        run.state = state;
        run.endedMillis = nowMillis;
    }
}

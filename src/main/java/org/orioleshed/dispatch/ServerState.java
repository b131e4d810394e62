package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.catalog.PoolServer;

/** The state of one incarnation of a server: its runs, speed and faults. */
final class ServerState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The smoothing factor of a server's speed; it reflects about the last ten answers. */
    private static final double SPEED_SMOOTHING = 0.12;

    /** The fault rate decays with this half-life, so that a server with faults is tried again. */
    private static final double FAULT_HALF_LIFE_NANOS = 4e9;

    private static final double FAULT_SMOOTHING = 0.15;
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
    private static final long REJECTED_BACKOFF_MILLIS = 40;
    private static final double MAX_SLOWNESS = 20;
    private static final double MIN_SLOWNESS = 0.05;

    private final Map<RunKey, ActiveRun> runs = new HashMap<>();
    private final ServerPacing pacing;
    private PoolServer server;
    private double firstEventFactor = 1;
    private double eventGapFactor = 1;
    private double faultRate;
    private double faultRateBefore;
    private long faultNanos;
    private int consecutiveFaults;
    private boolean statedLeaving;
    private boolean evacuated;
    private long backoffUntilNanos = Long.MIN_VALUE;
    private long lastActivityNanos;
    private long pendingTokens;
    private long reservedTokens;

    ServerState(PoolServer server, ServerPacing pacing, long nowNanos) {
        this.server = server;
        this.pacing = pacing;
        this.lastActivityNanos = nowNanos;
        this.faultNanos = nowNanos;
    }

    PoolServer server() {
        return server;
    }

    void update(PoolServer newer) {
        statedLeaving &= newer.draining() || !server.draining();
        server = newer;
    }

    /**
     * Marks the server as leaving, as it stated in an answer. Its catalog entry may confirm or
     * revoke that later.
     */
    void markLeaving() {
        statedLeaving = true;
    }

    /** Sets whether the server's failure domain is evacuated. */
    void setEvacuated(boolean newEvacuated) {
        evacuated = newEvacuated;
    }

    boolean isEvacuated() {
        return evacuated;
    }

    /** Returns whether the server is draining or evacuated and gets no new requests. */
    boolean isLeaving() {
        return statedLeaving || evacuated || server.draining();
    }

    ServerPacing pacing() {
        return pacing;
    }

    /** Returns whether the server is paced because it has just started or recovered. */
    boolean isPaced() {
        return pacing.isPaced();
    }

    /** Returns the largest number of runs while the server is paced. */
    int pacedLimit() {
        return pacing.limit();
    }

    /** Marks all runs as overlapping a time in which the server is cold. */
    void markWarmup() {
        runs.replaceAll((key, run) -> run.markedWarmup());
    }

    int running() {
        return runs.size();
    }

    Map<RunKey, ActiveRun> runs() {
        return runs;
    }

    /** Returns the number of prompt tokens whose prefill is not finished. */
    long pendingTokens() {
        return pendingTokens;
    }

    /** Returns the number of tokens that the runs occupy at most. */
    long reservedTokens() {
        return reservedTokens;
    }

    double firstEventFactor() {
        return firstEventFactor;
    }

    double eventGapFactor() {
        return eventGapFactor;
    }

    void start(RunKey key, ActiveRun run) {
        if (runs.isEmpty()) {
            lastActivityNanos = run.sentNanos();
        }
        runs.put(key, run);
        pendingTokens += run.request().promptTokens();
        reservedTokens += run.tokens();
    }

    /** Records the first event of a run. */
    void recordFirstEvent(RunKey key, long firstMillis, PoolSpeed pool, long nowNanos) {
        ActiveRun run = runs.get(key);
        lastActivityNanos = nowNanos;
        if (run == null || run.prefillTokens() == 0) {
            return;
        }
        pendingTokens -= run.request().promptTokens();
        runs.put(key, run.afterFirstEvent());
        double expectedMillis = pool.firstEventMillis((double) run.prefillTokens());
        double explainedMillis =
                run.duringWarmup() ? (double) firstMillis : firstEventFactor * expectedMillis;
        if (pacing.recordFirst(server, run, (double) firstMillis, explainedMillis, nowNanos)) {
            faultRate = faultRateBefore;
        }
        if (run.duringWarmup()) {
            return;
        }
        firstEventFactor = smooth(firstEventFactor, firstMillis / expectedMillis);
        pool.recordFirstEvent(run.prefillTokens(), firstMillis / firstEventFactor);
    }

    /** Removes a run that ended; returns whether it was recorded here. */
    boolean end(RunKey key, RunReport report, PoolSpeed pool, long nowNanos) {
        ActiveRun run = runs.remove(key);
        if (run == null) {
            return false;
        }
        reservedTokens -= run.tokens();
        if (run.prefillTokens() > 0) {
            pendingTokens -= run.request().promptTokens();
        }
        recordOutcome(run, report, pool, nowNanos);
        return true;
    }

    private void recordOutcome(ActiveRun run, RunReport report, PoolSpeed pool, long nowNanos) {
        RunReport.Outcome outcome =
                run.isSlowByWarmup(report) ? RunReport.Outcome.CANCELLED : report.outcome();
        switch (outcome) {
            case ANSWERED -> {
                lastActivityNanos = nowNanos;
                consecutiveFaults = 0;
                backoffUntilNanos = Long.MIN_VALUE;
                recordFault(0, nowNanos);
                recordPacedAnswer(run, report, pool, nowNanos);
                if (!run.duringWarmup()) {
                    recordSpeed(run, report, pool);
                }
            }
            case FAILED -> {
                lastActivityNanos = nowNanos;
                recordFault(1, nowNanos);
            }
            case UNREACHABLE, BROKEN, TIMED_OUT -> recordUnavailable(nowNanos);
            case REJECTED -> backOffUntil(nowNanos + REJECTED_BACKOFF_MILLIS * NANOS_PER_MILLI);
            case MISDIRECTED -> backOffUntil(nowNanos + MAX_BACKOFF_MILLIS * NANOS_PER_MILLI);
            case CANCELLED -> {}
        }
        pacing.recordUnanswered(server, run, outcome, nowNanos);
    }

    private void recordUnavailable(long nowNanos) {
        if (!pacing.isPaced()) {
            faultRateBefore = faultRate(nowNanos);
        }
        recordFault(1, nowNanos);
        if (!pacing.isActive()) {
            backOff(nowNanos);
        }
    }

    private void recordPacedAnswer(ActiveRun run, RunReport report, PoolSpeed pool, long nowNanos) {
        boolean plain = run.request().promptTokens() == 0;
        long firstMillis = plain ? report.totalMillis() : report.firstMillis();
        double explainedMillis =
                run.duringWarmup()
                        ? (double) firstMillis
                        : firstEventFactor * pool.expectedMillis(run);
        boolean firstResponse = plain || run.prefillTokens() > 0;
        boolean onlyPaused =
                firstResponse
                        ? pacing.recordFirst(
                                server, run, (double) firstMillis, explainedMillis, nowNanos)
                        : pacing.recordLaterAnswer(server, run, nowNanos);
        if (onlyPaused) {
            faultRate = faultRateBefore;
        }
    }

    private void recordSpeed(ActiveRun run, RunReport report, PoolSpeed pool) {
        if (report.events() > 1) {
            double gapMillis =
                    (double) (report.totalMillis() - report.firstMillis()) / (report.events() - 1);
            eventGapFactor = smooth(eventGapFactor, gapMillis / pool.eventGapMillis());
            pool.recordEventGap(gapMillis / eventGapFactor);
        }
        if (run.request().promptTokens() == 0) {
            firstEventFactor = smooth(firstEventFactor, report.totalMillis() / pool.plainMillis());
            pool.recordPlain(report.totalMillis() / firstEventFactor);
        }
    }

    private static double smooth(double previous, double observed) {
        double bounded = Math.clamp(observed, MIN_SLOWNESS, MAX_SLOWNESS);
        return previous + SPEED_SMOOTHING * (bounded - previous);
    }

    private void backOff(long nowNanos) {
        long millis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << consecutiveFaults);
        consecutiveFaults = Math.min(consecutiveFaults + 1, 4);
        backOffUntil(nowNanos + millis * NANOS_PER_MILLI);
    }

    private void backOffUntil(long untilNanos) {
        backoffUntilNanos = Math.max(backoffUntilNanos, untilNanos);
    }

    private void recordFault(double observed, long nowNanos) {
        faultRate = faultRate(nowNanos);
        faultNanos = nowNanos;
        faultRate += FAULT_SMOOTHING * (observed - faultRate);
    }

    /** Returns the smoothed fraction of recent runs that failed. */
    double faultRate(long nowNanos) {
        return faultRate * Math.pow(0.5, (nowNanos - faultNanos) / FAULT_HALF_LIFE_NANOS);
    }

    boolean isBackingOff(long nowNanos) {
        return nowNanos < backoffUntilNanos || pacing.isPausing(nowNanos);
    }

    /**
     * Returns whether a run has waited longer than {@code allowedMillis} for its first event, while
     * the server sent nothing for as long.
     */
    boolean isSilent(long allowedMillis, long nowNanos) {
        if (nowNanos - lastActivityNanos < allowedMillis * NANOS_PER_MILLI) {
            return false;
        }
        return runs.values().stream()
                .anyMatch(
                        run ->
                                run.waitsForFirst()
                                        && nowNanos - run.sentNanos()
                                                > allowedMillis * NANOS_PER_MILLI);
    }
}

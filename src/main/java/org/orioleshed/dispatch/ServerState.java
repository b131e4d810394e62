package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.catalog.PoolServer;

/** What a scheduler knows of one start of a server: its runs, speed and faults. */
final class ServerState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A server's own speed follows its last ten answers or so. */
    private static final double NEW_PART = 0.12;

    /** The fault rate forgets half in this time, so that a server is tried again. */
    private static final double FAULT_HALF_LIFE_NANOS = 4e9;

    private static final double FAULT_PART = 0.15;
    private static final long FIRST_HOLD_OFF_MILLIS = 250;
    private static final long MAX_HOLD_OFF_MILLIS = 4_000;
    private static final long REJECTED_HOLD_OFF_MILLIS = 40;
    private static final double SLOWEST = 20;
    private static final double FASTEST = 0.05;

    private final Map<RunKey, Running> runs = new HashMap<>();
    private PoolServer server;
    private double firstFactor = 1;
    private double eventFactor = 1;
    private double faultRate;
    private long faultNanos;
    private int faultsInRow;
    private boolean toldLeaving;
    private long heldUntilNanos = Long.MIN_VALUE;
    private long lastSignNanos;
    private long pendingTokens;
    private long heldTokens;

    ServerState(PoolServer server, long nowNanos) {
        this.server = server;
        this.lastSignNanos = nowNanos;
        this.faultNanos = nowNanos;
    }

    PoolServer server() {
        return server;
    }

    void update(PoolServer newer) {
        toldLeaving &= newer.draining() || !server.draining();
        server = newer;
    }

    /** The server told a host that it leaves; its entry may say so later, or take it back. */
    void leave() {
        toldLeaving = true;
    }

    /** Returns whether it takes no new requests for good. */
    boolean isLeaving() {
        return toldLeaving || server.draining();
    }

    int running() {
        return runs.size();
    }

    Map<RunKey, Running> runs() {
        return runs;
    }

    /** Returns the tokens of prompts that are not read yet. */
    long pendingTokens() {
        return pendingTokens;
    }

    /** Returns the tokens that its runs need at most. */
    long heldTokens() {
        return heldTokens;
    }

    double firstFactor() {
        return firstFactor;
    }

    double eventFactor() {
        return eventFactor;
    }

    void start(RunKey key, Running run) {
        if (runs.isEmpty()) {
            lastSignNanos = run.sentNanos();
        }
        runs.put(key, run);
        pendingTokens += run.request().promptTokens();
        heldTokens += run.tokens();
    }

    /** A run's first event came. */
    void first(RunKey key, long firstMillis, PoolSpeed pool, long nowNanos) {
        Running run = runs.get(key);
        lastSignNanos = nowNanos;
        if (run == null || run.reading() == 0) {
            return;
        }
        pendingTokens -= run.request().promptTokens();
        double expected = pool.firstMillis(run.reading());
        firstFactor = mix(firstFactor, firstMillis / expected);
        pool.learnFirst(run.reading(), firstMillis / firstFactor);
        runs.put(key, run.begun());
    }

    /** A run ended; returns whether it was known. */
    boolean end(RunKey key, RunReport report, PoolSpeed pool, long nowNanos) {
        Running run = runs.remove(key);
        if (run == null) {
            return false;
        }
        heldTokens -= run.tokens();
        if (run.reading() > 0) {
            pendingTokens -= run.request().promptTokens();
        }
        learn(run, report, pool, nowNanos);
        return true;
    }

    private void learn(Running run, RunReport report, PoolSpeed pool, long nowNanos) {
        switch (report.outcome()) {
            case ANSWERED -> {
                lastSignNanos = nowNanos;
                faultsInRow = 0;
                heldUntilNanos = Long.MIN_VALUE;
                fault(0, nowNanos);
                learnSpeed(run, report, pool);
            }
            case FAILED -> {
                lastSignNanos = nowNanos;
                fault(1, nowNanos);
            }
            case UNREACHABLE, BROKEN, TIMED_OUT -> {
                fault(1, nowNanos);
                holdOff(nowNanos);
            }
            case REJECTED -> holdUntil(nowNanos + REJECTED_HOLD_OFF_MILLIS * NANOS_PER_MILLI);
            case MISDIRECTED -> holdUntil(nowNanos + MAX_HOLD_OFF_MILLIS * NANOS_PER_MILLI);
            case CANCELLED -> {}
        }
    }

    private void learnSpeed(Running run, RunReport report, PoolSpeed pool) {
        if (report.events() > 1) {
            double gap =
                    (double) (report.totalMillis() - report.firstMillis()) / (report.events() - 1);
            eventFactor = mix(eventFactor, gap / pool.eventMillis());
            pool.learnEvent(gap / eventFactor);
        }
        if (run.request().promptTokens() == 0) {
            firstFactor = mix(firstFactor, report.totalMillis() / pool.plainMillis());
            pool.learnPlain(report.totalMillis() / firstFactor);
        }
    }

    private static double mix(double old, double seen) {
        double bounded = Math.clamp(seen, FASTEST, SLOWEST);
        return old + NEW_PART * (bounded - old);
    }

    private void holdOff(long nowNanos) {
        long millis = Math.min(MAX_HOLD_OFF_MILLIS, FIRST_HOLD_OFF_MILLIS << faultsInRow);
        faultsInRow = Math.min(faultsInRow + 1, 4);
        holdUntil(nowNanos + millis * NANOS_PER_MILLI);
    }

    private void holdUntil(long untilNanos) {
        heldUntilNanos = Math.max(heldUntilNanos, untilNanos);
    }

    private void fault(double seen, long nowNanos) {
        faultRate = faultRate(nowNanos);
        faultNanos = nowNanos;
        faultRate += FAULT_PART * (seen - faultRate);
    }

    /** Returns the part of its runs that it failed of late. */
    double faultRate(long nowNanos) {
        return faultRate * Math.pow(0.5, (nowNanos - faultNanos) / FAULT_HALF_LIFE_NANOS);
    }

    boolean isHeldOff(long nowNanos) {
        return nowNanos < heldUntilNanos;
    }

    /** Returns whether runs wait for their first event and nothing came from the server since. */
    boolean isSilent(long allowedMillis, long nowNanos) {
        if (nowNanos - lastSignNanos < allowedMillis * NANOS_PER_MILLI) {
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

package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * The active runs on one engine: starts them, forwards their tokens, applies the callers' flow
 * control credit, and ends them.
 */
final class ServerRuns {
    private static final long CANCEL_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long CANCEL_RETRY_NANOS = 1_000_000_000L;
    private static final long DEADLINE_GRACE_NANOS = 2_000_000_000L;

    private final RoutingLimits limits;
    private final ServerId server;
    private final Outbox outbox;
    private final Slots slots;
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final AdaptiveLimit limit;
    private final ServerBackoff backoff;

    ServerRuns(
            RoutingLimits limits,
            ServerId server,
            Outbox outbox,
            Slots slots,
            PrefixIndex prefixes,
            ServerSpeed speed,
            AdaptiveLimit limit,
            ServerBackoff backoff) {
        this.limits = limits;
        this.server = server;
        this.outbox = outbox;
        this.slots = slots;
        this.prefixes = prefixes;
        this.speed = speed;
        this.limit = limit;
        this.backoff = backoff;
    }

    /** Starts a run whose body has arrived. */
    void start(
            long nowNanos, WaitingOffer waiting, RoutingMessage.Placed placed, boolean canResume) {
        Offer offer = waiting.offer();
        int uncached = prefixes.uncachedTokens(offer);
        prefixes.sent(offer.prefixHashes());
        EngineRun run =
                new EngineRun(
                        waiting,
                        placed.resumeFromToken(),
                        placed.creditTokens(),
                        uncached,
                        nowNanos,
                        speed.prefillMillis(offer.route(), uncached));
        slots.start(run);
        int resumeFrom = canResume ? placed.resumeFromToken() : 0;
        outbox.add(new HostAction.StartRun(waiting.run(), server, placed.body(), resumeFrom));
        outbox.log(
                "start",
                waiting.run(),
                offer.tier(),
                server,
                server + ":" + waiting.workMillis(),
                "uncached=" + uncached + "-of-" + offer.promptTokens());
    }

    /** Adds credit to a run; returns whether the run is on this server. */
    boolean credit(long nowNanos, RunId id, int tokens) {
        Optional<EngineRun> run = slots.run(id);
        run.ifPresent(r -> r.addCredit(tokens));
        run.ifPresent(r -> updatePaused(nowNanos, r));
        return run.isPresent();
    }

    void tokens(long nowNanos, HostEvent.RunTokens event) {
        Optional<EngineRun> found = slots.run(event.run());
        if (found.isEmpty()) {
            return;
        }
        EngineRun run = found.get();
        backoff.succeeded();
        recordTokens(nowNanos, run, event);
        boolean forwards =
                switch (run.stopReason()) {
                    case NONE, PREEMPTED, STALLED, CONNECTION_LOST -> !run.endReported();
                    case REQUESTED, ORPHANED -> false;
                };
        boolean isNew = event.firstToken() + event.count() > run.resumeFromToken();
        if (forwards && isNew) {
            outbox.send(
                    run.from(),
                    new RoutingMessage.Tokens(
                            event.run(), event.firstToken(), event.count(), event.text()));
        }
        updatePaused(nowNanos, run);
    }

    /** Sends a cancel to the engine; the run holds its slot until the engine confirms its end. */
    void stop(long nowNanos, EngineRun run, EngineRun.StopReason reason) {
        if (run.stopping()) {
            return;
        }
        run.stop(reason, nowNanos);
        outbox.add(new HostAction.CancelRun(run.run(), server));
    }

    /** Cancels a run so that a more urgent request gets its slot. */
    void preempt(long nowNanos, EngineRun victim, String reason) {
        stop(nowNanos, victim, EngineRun.StopReason.PREEMPTED);
        outbox.log(
                "preempt",
                victim.run(),
                victim.waiting().offer().tier(),
                server,
                server + ":" + victim.generatedTokens(),
                reason);
    }

    void ended(long nowNanos, EngineRun run, RunEnd end) {
        updateBackoff(nowNanos, end);
        if (end instanceof RunEnd.Broken broken && !broken.confirmedEnded() && !broken.crashed()) {
            if (run.stopReason() != EngineRun.StopReason.CONNECTION_LOST) {
                run.stop(EngineRun.StopReason.CONNECTION_LOST, nowNanos);
                outbox.add(new HostAction.CancelRun(run.run(), server));
            }
            return;
        }
        slots.end(run.run());
        if (end instanceof RunEnd.Finished finished) {
            speed.recordAnswer(run.waiting().offer().route(), finished.totalTokens());
        }
        reportEnd(run, effectiveEnd(run, end));
    }

    void tick(long nowNanos) {
        for (EngineRun run : List.copyOf(slots.running())) {
            if (run.stopping()) {
                repeatCancel(nowNanos, run);
            } else if (isStalled(nowNanos, run)) {
                outbox.log(
                        "stop",
                        run.run(),
                        run.waiting().offer().tier(),
                        server,
                        server + ":" + run.generatedTokens(),
                        "no-token-for-too-long");
                stop(nowNanos, run, EngineRun.StopReason.STALLED);
            } else if (nowNanos - run.waiting().deadlineNanos() > DEADLINE_GRACE_NANOS) {
                stop(nowNanos, run, EngineRun.StopReason.ORPHANED);
            }
        }
    }

    private void recordTokens(long nowNanos, EngineRun run, HostEvent.RunTokens event) {
        boolean first = !run.hasTokens();
        long gapMicros = run.tokens(event.firstToken(), event.count(), nowNanos);
        WaitingOffer waiting = run.waiting();
        if (first) {
            long nanos = nowNanos - run.startedNanos();
            speed.recordFirstToken(waiting.offer().route(), run.uncachedTokens(), nanos);
            long aloneMicros =
                    speed.prefillAloneMicros(waiting.offer().route(), run.uncachedTokens());
            limit.recordFirstToken(nanos / 1_000, aloneMicros);
        }
        if (gapMicros >= 0) {
            speed.recordGap(waiting.offer().route(), gapMicros);
            limit.recordGap(gapMicros);
        }
    }

    private void updatePaused(long nowNanos, EngineRun run) {
        boolean pause = run.creditSpent();
        if (pause != run.paused() && !run.stopping()) {
            run.setPaused(pause, nowNanos);
            outbox.add(new HostAction.PauseRun(run.run(), pause));
        }
    }

    private void updateBackoff(long nowNanos, RunEnd end) {
        switch (end) {
            case RunEnd.Finished finished -> backoff.succeeded();
            case RunEnd.NeverStarted never -> backoff.failed(nowNanos);
            case RunEnd.EngineError error when error.retryable() -> backoff.errored(nowNanos);
            case RunEnd.Broken broken when broken.crashed() -> backoff.failed(nowNanos);
            case RunEnd.EngineError error -> {}
            case RunEnd.Broken broken -> {}
            case RunEnd.Cancelled cancelled -> {}
            case RunEnd.Preempted preempted -> {}
        }
    }

    /**
     * Returns the end to report, given the end at the engine and the reason why the run was
     * stopped.
     */
    private static RunEnd effectiveEnd(EngineRun run, RunEnd end) {
        if (!(end instanceof RunEnd.Cancelled)) {
            return end;
        }
        return switch (run.stopReason()) {
            case NONE, REQUESTED, ORPHANED -> end;
            case PREEMPTED -> new RunEnd.Preempted(run.nextToken());
            case STALLED, CONNECTION_LOST -> new RunEnd.Broken(false, true);
        };
    }

    private void reportEnd(EngineRun run, RunEnd end) {
        if (!run.endReported()) {
            run.markEndReported();
            outbox.sendEnded(run.from(), run.run(), end);
        }
    }

    private void repeatCancel(long nowNanos, EngineRun run) {
        long sinceStop = nowNanos - run.stopNanos();
        if (sinceStop > CANCEL_TIMEOUT_NANOS) {
            reportEnd(run, new RunEnd.Broken(false, false));
        }
        if (nowNanos - run.lastCancelNanos() > CANCEL_RETRY_NANOS) {
            run.recordCancelRetry(nowNanos);
            outbox.add(new HostAction.CancelRun(run.run(), server));
        }
    }

    private boolean isStalled(long nowNanos, EngineRun run) {
        if (run.paused()) {
            return false;
        }
        long timeoutMillis =
                run.hasTokens() ? limits.tokenSilenceMillis() : limits.firstTokenSilenceMillis();
        return nowNanos - run.lastTokenNanos() > timeoutMillis * DecisionContext.NANOS_PER_MILLI;
    }
}

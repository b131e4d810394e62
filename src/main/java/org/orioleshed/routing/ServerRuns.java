package org.orioleshed.routing;

import java.util.List;
import java.util.Optional;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * The runs on one engine: starts them, passes their tokens on, keeps to the callers' credit, and
 * ends them.
 */
final class ServerRuns {
    private static final long CANCEL_BOUND_NANOS = 2_000_000_000L;
    private static final long CANCEL_REPEAT_NANOS = 1_000_000_000L;
    private static final long OVERTIME_NANOS = 2_000_000_000L;

    private final RoutingLimits limits;
    private final ServerId server;
    private final Outbox outbox;
    private final Places places;
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final AdaptiveLimit limit;
    private final HoldOff holdOff;

    ServerRuns(
            RoutingLimits limits,
            ServerId server,
            Outbox outbox,
            Places places,
            PrefixIndex prefixes,
            ServerSpeed speed,
            AdaptiveLimit limit,
            HoldOff holdOff) {
        this.limits = limits;
        this.server = server;
        this.outbox = outbox;
        this.places = places;
        this.prefixes = prefixes;
        this.speed = speed;
        this.limit = limit;
        this.holdOff = holdOff;
    }

    /** Starts a run whose body arrived. */
    void start(long nowNanos, Waiting waiting, RoutingMessage.Placed placed, boolean canResume) {
        Offer offer = waiting.offer();
        int uncached = prefixes.uncachedTokens(offer);
        prefixes.sent(offer.prefixHashes());
        Running run =
                new Running(
                        waiting,
                        placed.resumeFromToken(),
                        placed.creditTokens(),
                        uncached,
                        nowNanos,
                        speed.prefillMillis(offer.route(), uncached));
        places.start(run);
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

    /** Returns whether the run is here. */
    boolean credit(long nowNanos, RunId id, int tokens) {
        Optional<Running> run = places.run(id);
        run.ifPresent(r -> r.addCredit(tokens));
        run.ifPresent(r -> pauseOrGoOn(nowNanos, r));
        return run.isPresent();
    }

    void tokens(long nowNanos, HostEvent.RunTokens event) {
        Optional<Running> found = places.run(event.run());
        if (found.isEmpty()) {
            return;
        }
        Running run = found.get();
        holdOff.succeeded();
        observe(nowNanos, run, event);
        boolean wanted =
                switch (run.stop()) {
                    case NONE, PREEMPTED, SILENT, BROKEN -> !run.told();
                    case WISHED, ORPHANED -> false;
                };
        boolean isNew = event.firstToken() + event.count() > run.resumeFromToken();
        if (wanted && isNew) {
            outbox.send(
                    run.from(),
                    new RoutingMessage.Tokens(
                            event.run(), event.firstToken(), event.count(), event.text()));
        }
        pauseOrGoOn(nowNanos, run);
    }

    /** Asks the engine to stop a run; its place stays taken until the engine is done with it. */
    void stop(long nowNanos, Running run, Running.Stop reason) {
        if (run.stopping()) {
            return;
        }
        run.stop(reason, nowNanos);
        outbox.add(new HostAction.CancelRun(run.run(), server));
    }

    /** Stops a run so that more urgent work gets its place. */
    void preempt(long nowNanos, Running victim, String reason) {
        stop(nowNanos, victim, Running.Stop.PREEMPTED);
        outbox.log(
                "preempt",
                victim.run(),
                victim.waiting().offer().tier(),
                server,
                server + ":" + victim.generatedTokens(),
                reason);
    }

    void ended(long nowNanos, Running run, RunEnd end) {
        judge(nowNanos, end);
        if (end instanceof RunEnd.Broken broken && !broken.confirmedEnded() && !broken.crashed()) {
            if (run.stop() != Running.Stop.BROKEN) {
                run.stop(Running.Stop.BROKEN, nowNanos);
                outbox.add(new HostAction.CancelRun(run.run(), server));
            }
            return;
        }
        places.end(run.run());
        if (end instanceof RunEnd.Finished finished) {
            speed.answered(run.waiting().offer().route(), finished.totalTokens());
        }
        tell(run, meaning(run, end));
    }

    void tick(long nowNanos) {
        for (Running run : List.copyOf(places.running())) {
            if (run.stopping()) {
                pressCancel(nowNanos, run);
            } else if (isSilent(nowNanos, run)) {
                outbox.log(
                        "stop",
                        run.run(),
                        run.waiting().offer().tier(),
                        server,
                        server + ":" + run.generatedTokens(),
                        "no-token-for-too-long");
                stop(nowNanos, run, Running.Stop.SILENT);
            } else if (nowNanos - run.waiting().deadlineNanos() > OVERTIME_NANOS) {
                stop(nowNanos, run, Running.Stop.ORPHANED);
            }
        }
    }

    private void observe(long nowNanos, Running run, HostEvent.RunTokens event) {
        boolean first = !run.hasTokens();
        long gapMicros = run.tokens(event.firstToken(), event.count(), nowNanos);
        Waiting waiting = run.waiting();
        if (first) {
            long nanos = nowNanos - run.startedNanos();
            speed.firstToken(waiting.offer().route(), run.uncachedTokens(), nanos);
            long alone = speed.prefillAloneMicros(waiting.offer().route(), run.uncachedTokens());
            limit.firstToken(nanos / 1_000, alone);
        }
        if (gapMicros >= 0) {
            speed.gap(waiting.offer().route(), gapMicros);
            limit.gap(gapMicros);
        }
    }

    private void pauseOrGoOn(long nowNanos, Running run) {
        boolean pause = run.creditSpent();
        if (pause != run.paused() && !run.stopping()) {
            run.setPaused(pause, nowNanos);
            outbox.add(new HostAction.PauseRun(run.run(), pause));
        }
    }

    private void judge(long nowNanos, RunEnd end) {
        switch (end) {
            case RunEnd.Finished finished -> holdOff.succeeded();
            case RunEnd.NeverStarted never -> holdOff.failed(nowNanos);
            case RunEnd.EngineError error when error.retryable() -> holdOff.errored(nowNanos);
            case RunEnd.Broken broken when broken.crashed() -> holdOff.failed(nowNanos);
            case RunEnd.EngineError error -> {}
            case RunEnd.Broken broken -> {}
            case RunEnd.Cancelled cancelled -> {}
            case RunEnd.Preempted preempted -> {}
        }
    }

    /** Returns what an end at the engine means, given why the run was stopped. */
    private static RunEnd meaning(Running run, RunEnd end) {
        if (!(end instanceof RunEnd.Cancelled)) {
            return end;
        }
        return switch (run.stop()) {
            case NONE, WISHED, ORPHANED -> end;
            case PREEMPTED -> new RunEnd.Preempted(run.nextToken());
            case SILENT, BROKEN -> new RunEnd.Broken(false, true);
        };
    }

    private void tell(Running run, RunEnd end) {
        if (!run.told()) {
            run.tell();
            outbox.ended(run.from(), run.run(), end);
        }
    }

    private void pressCancel(long nowNanos, Running run) {
        long sinceStop = nowNanos - run.stopNanos();
        if (sinceStop > CANCEL_BOUND_NANOS) {
            tell(run, new RunEnd.Broken(false, false));
        }
        if (nowNanos - run.lastCancelNanos() > CANCEL_REPEAT_NANOS) {
            run.cancelRepeated(nowNanos);
            outbox.add(new HostAction.CancelRun(run.run(), server));
        }
    }

    private boolean isSilent(long nowNanos, Running run) {
        if (run.paused()) {
            return false;
        }
        long bound =
                run.hasTokens() ? limits.tokenSilenceMillis() : limits.firstTokenSilenceMillis();
        return nowNanos - run.lastTokenNanos() > bound * Moment.NANOS_PER_MILLI;
    }
}

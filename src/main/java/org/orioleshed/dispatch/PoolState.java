package org.orioleshed.dispatch;

import java.util.Optional;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.model.HostId;

/** The state of one pool: its servers, their speed, its queued requests and its rollout. */
final class PoolState {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A run without an answer counts as slow once it took this many times the expected time. */
    static final double SLOW_RUN_FACTOR = 2;

    private final PoolServers servers;
    private final RequestQueue queue = new RequestQueue();
    private final RetryReservations retries = new RetryReservations();
    private final PoolSpeed speed = new PoolSpeed();
    private final RankLoad load = new RankLoad();
    private Pool definition;
    private VersionRollout rollout;

    PoolState(PacedServers paced) {
        this.servers = new PoolServers(paced);
    }

    PoolServers servers() {
        return servers;
    }

    PoolSpeed speed() {
        return speed;
    }

    RankLoad load() {
        return load;
    }

    void define(Pool pool) {
        definition = pool;
    }

    Optional<Pool> definition() {
        return Optional.ofNullable(definition);
    }

    /** Returns the most recently ordered rollout. */
    Optional<VersionRollout> rollout() {
        return Optional.ofNullable(rollout);
    }

    /** Returns the rollout if its order is this one. */
    Optional<VersionRollout> rolloutOf(RolloutOrder order) {
        return rollout().filter(active -> active.order().equals(order));
    }

    /** Starts a rollout, unless it is the present one already. */
    void startRollout(DispatchEvent.RolloutOrdered ordered, RolloutPolicy policy) {
        if (rolloutOf(ordered.order()).isEmpty()) {
            rollout = new VersionRollout(ordered.order(), policy, ordered.observedNanos());
        }
    }

    /** Returns the most recently ordered rollout with its outcome so far. */
    Optional<RolloutView> rolloutView() {
        return rollout()
                .map(
                        active ->
                                new RolloutView(
                                        active.order(),
                                        active.outcome(),
                                        active.step(),
                                        active::evidence));
    }

    /** Returns the evidence of a rollout under way, for the next primary. */
    Optional<DispatchEvent.RolloutReported> rolloutReport(HostId self) {
        return rollout()
                .filter(active -> !active.isSettled())
                .map(
                        active ->
                                new DispatchEvent.RolloutReported(
                                        self, active.order(), active.tallies()));
    }

    /** Returns the queued requests. */
    RequestQueue queue() {
        return queue;
    }

    int waiting() {
        return queue.size();
    }

    /** Returns the retry times that refused callers were told. */
    RetryReservations retries() {
        return retries;
    }

    /**
     * Returns how long {@code request} occupies a slot of a server of average speed, in
     * milliseconds.
     */
    double expectedRunMillis(PlacementRequest request) {
        if (request.promptTokens() == 0) {
            return speed.plainMillis();
        }
        double events = (double) request.outputTokens() / eventTokens();
        return speed.firstEventMillis((double) request.promptTokens())
                + events * speed.eventGapMillis();
    }

    /**
     * Returns the sum of {@link #expectedRunMillis} over the queued requests of {@code rank} and of
     * more urgent ones, in milliseconds. The expected time is linear in the tokens.
     */
    double queuedRunMillis(int rank) {
        RequestQueue.Work work = queue.workUpTo(rank);
        double plainMillis = work.plainCalls() * speed.plainMillis();
        if (work.modelCalls() == 0) {
            return plainMillis;
        }
        double meanPromptTokens = (double) work.promptTokens() / work.modelCalls();
        double firstMillis = work.modelCalls() * speed.firstEventMillis(meanPromptTokens);
        double events = (double) work.outputTokens() / eventTokens();
        return plainMillis + firstMillis + events * speed.eventGapMillis();
    }

    /** Returns the mean of {@link #expectedRunMillis} over the queued requests, in milliseconds. */
    double meanQueuedRunMillis() {
        return queue.size() == 0 ? 0 : queuedRunMillis(Integer.MAX_VALUE) / queue.size();
    }

    /** Records the time to a run's first event in the rollout. */
    void recordFirstEvent(ServerState server, RunKey run, long firstMillis) {
        ActiveRun running = server.runs().get(run);
        if (running != null && running.prefillTokens() > 0) {
            recordLatency(server, running, firstMillis);
        }
    }

    private void recordLatency(ServerState server, ActiveRun running, long millis) {
        if (running.duringWarmup()) {
            return;
        }
        double slowness = millis / speed.expectedMillis(running);
        rollout()
                .ifPresent(
                        active ->
                                active.recordSlowness(
                                        server.server(), running.request().route(), slowness));
    }

    /** Records the outcome of a run in the rollout. */
    void recordEnd(ServerState server, RunKey run, RunReport report) {
        ActiveRun running = server.runs().get(run);
        if (running == null) {
            return;
        }
        boolean plain = running.request().promptTokens() == 0;
        if (plain && report.outcome() == RunReport.Outcome.ANSWERED) {
            recordLatency(server, running, report.totalMillis());
        }
        RunReport.Outcome outcome =
                running.isSlowByWarmup(report) ? RunReport.Outcome.CANCELLED : report.outcome();
        rollout()
                .ifPresent(
                        active ->
                                active.recordEnd(
                                        server.server(), running.request().route(), outcome));
    }

    /** Updates the rollout, if there is one, with the runs under way and lets it decide. */
    void updateRollout(long nowNanos) {
        if (rollout == null) {
            return;
        }
        rollout.clearPending();
        int oldRuns = 0;
        boolean hasNewServers = false;
        for (ServerState server : servers.all()) {
            boolean target = rollout.isTarget(server.server().version());
            oldRuns += target ? 0 : server.running();
            hasNewServers |= target && !server.isLeaving();
            recordPending(server, nowNanos);
        }
        rollout.decide(nowNanos, oldRuns, hasNewServers);
    }

    /** Records runs in the rollout that already took longer than expected without a first event. */
    private void recordPending(ServerState server, long nowNanos) {
        for (ActiveRun run : server.runs().values()) {
            double millis = (nowNanos - run.sentNanos()) / NANOS_PER_MILLI;
            double slowness = millis / speed.expectedMillis(run);
            if (run.waitsForFirst() && !run.duringWarmup() && slowness > SLOW_RUN_FACTOR) {
                rollout.recordPending(server.server(), run.request().route(), slowness);
            }
        }
    }

    private int eventTokens() {
        return definition().map(Pool::eventTokens).orElse(1);
    }
}

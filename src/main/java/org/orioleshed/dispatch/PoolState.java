package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.orioleshed.catalog.Pool;

/** The state of one pool: its servers, their speed, its queued requests and its rollout. */
final class PoolState {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A run without an answer counts as slow once it took this many times the expected time. */
    private static final double SLOW_RUN_FACTOR = 2;

    private final PoolServers servers = new PoolServers();
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(QueuedRequest.URGENCY);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.URGENCY);
    private final Map<RunKey, QueuedRequest> queuedByRun = new HashMap<>();
    private final PoolSpeed speed = new PoolSpeed();
    private final RankLoad load = new RankLoad();
    private Pool definition;
    private VersionRollout rollout;

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

    void setRollout(VersionRollout newRollout) {
        rollout = newRollout;
    }

    int waiting() {
        return queuedByRun.size();
    }

    boolean isQueued(RunKey run) {
        return queuedByRun.containsKey(run);
    }

    Collection<QueuedRequest> queuedRequests() {
        return queuedByRun.values();
    }

    void add(QueuedRequest queued) {
        queuedByRun.put(queued.run(), queued);
        onTime.add(queued);
    }

    /** Removes a queued request; empty if it is not queued. */
    Optional<QueuedRequest> remove(RunKey run) {
        QueuedRequest queued = queuedByRun.remove(run);
        if (queued == null) {
            return Optional.empty();
        }
        onTime.remove(queued);
        late.remove(queued);
        return Optional.of(queued);
    }

    /** Moves requests that missed their target behind the other requests of their rank. */
    void moveLate(long nowNanos) {
        Iterator<QueuedRequest> all = onTime.iterator();
        List<QueuedRequest> missed = new ArrayList<>();
        while (all.hasNext()) {
            QueuedRequest queued = all.next();
            if (queued.targetNanos() < nowNanos) {
                all.remove();
                missed.add(queued);
            }
        }
        late.addAll(missed);
    }

    /** Returns all queued requests in the order in which they are to be served. */
    List<QueuedRequest> inOrder() {
        List<QueuedRequest> result = new ArrayList<>(queuedByRun.size());
        Iterator<QueuedRequest> onTimeIterator = onTime.iterator();
        Iterator<QueuedRequest> lateIterator = late.iterator();
        QueuedRequest nextOnTime = next(onTimeIterator);
        QueuedRequest nextLate = next(lateIterator);
        while (nextOnTime != null || nextLate != null) {
            if (nextLate == null
                    || (nextOnTime != null
                            && nextOnTime.request().rank() <= nextLate.request().rank())) {
                result.add(nextOnTime);
                nextOnTime = next(onTimeIterator);
            } else {
                result.add(nextLate);
                nextLate = next(lateIterator);
            }
        }
        return result;
    }

    private static QueuedRequest next(Iterator<QueuedRequest> iterator) {
        return iterator.hasNext() ? iterator.next() : null;
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
        return speed.firstEventMillis(request.promptTokens()) + events * speed.eventGapMillis();
    }

    /** Returns the mean of {@link #expectedRunMillis} over the queued requests, in milliseconds. */
    double meanQueuedRunMillis() {
        return queuedByRun.values().stream()
                .mapToDouble(queued -> expectedRunMillis(queued.request()))
                .average()
                .orElse(0);
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

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

/** One pool: its servers, its speed, and who waits for it. */
final class PoolState {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A request waits long for its answer after so many times what is usual. */
    private static final double LONG_WAIT = 2;

    private final PoolServers servers = new PoolServers();
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(QueuedRequest.URGENCY);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.URGENCY);
    private final Map<RunKey, QueuedRequest> waiters = new HashMap<>();
    private final PoolSpeed speed = new PoolSpeed();
    private final RankLoad load = new RankLoad();
    private Pool declared;
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

    void declare(Pool pool) {
        declared = pool;
    }

    Optional<Pool> declared() {
        return Optional.ofNullable(declared);
    }

    /** Returns the rollout that was ordered last. */
    Optional<VersionRollout> rollout() {
        return Optional.ofNullable(rollout);
    }

    void rollout(VersionRollout newRollout) {
        rollout = newRollout;
    }

    int waiting() {
        return waiters.size();
    }

    boolean isWaiting(RunKey run) {
        return waiters.containsKey(run);
    }

    Collection<QueuedRequest> waiters() {
        return waiters.values();
    }

    void add(QueuedRequest waiter) {
        waiters.put(waiter.run(), waiter);
        onTime.add(waiter);
    }

    /** Removes a waiter; empty when it does not wait. */
    Optional<QueuedRequest> remove(RunKey run) {
        QueuedRequest waiter = waiters.remove(run);
        if (waiter == null) {
            return Optional.empty();
        }
        onTime.remove(waiter);
        late.remove(waiter);
        return Optional.of(waiter);
    }

    /** Puts those who can't be answered in time any more behind their rank's others. */
    void sortLate(long nowNanos) {
        Iterator<QueuedRequest> all = onTime.iterator();
        List<QueuedRequest> moved = new ArrayList<>();
        while (all.hasNext()) {
            QueuedRequest waiter = all.next();
            if (waiter.targetNanos() < nowNanos) {
                all.remove();
                moved.add(waiter);
            }
        }
        late.addAll(moved);
    }

    /** Returns all waiters, the next one first. */
    List<QueuedRequest> inOrder() {
        List<QueuedRequest> result = new ArrayList<>(waiters.size());
        Iterator<QueuedRequest> first = onTime.iterator();
        Iterator<QueuedRequest> second = late.iterator();
        QueuedRequest a = next(first);
        QueuedRequest b = next(second);
        while (a != null || b != null) {
            if (b == null || (a != null && a.request().rank() <= b.request().rank())) {
                result.add(a);
                a = next(first);
            } else {
                result.add(b);
                b = next(second);
            }
        }
        return result;
    }

    private static QueuedRequest next(Iterator<QueuedRequest> from) {
        return from.hasNext() ? from.next() : null;
    }

    /** Returns how long a server of usual speed is busy with {@code request}, in milliseconds. */
    double busyMillis(PlacementRequest request) {
        if (request.promptTokens() == 0) {
            return speed.plainMillis();
        }
        double events = (double) request.outputTokens() / eventTokens();
        return speed.firstMillis(request.promptTokens()) + events * speed.eventMillis();
    }

    /** Returns the same for those who wait, on average. */
    double waitersBusyMillis() {
        return waiters.values().stream()
                .mapToDouble(waiter -> busyMillis(waiter.request()))
                .average()
                .orElse(0);
    }

    /** A run's first event came; tells the rollout how long it took. */
    void firstInRollout(ServerState server, RunKey run, long firstMillis) {
        Running running = server.runs().get(run);
        if (running != null && running.reading() > 0) {
            tookInRollout(server, running, firstMillis);
        }
    }

    private void tookInRollout(ServerState server, Running running, long millis) {
        double slowness = millis / speed.expectedMillis(running);
        rollout().ifPresent(it -> it.took(server.server(), running.request().route(), slowness));
    }

    /** A run ended; tells the rollout how. */
    void endInRollout(ServerState server, RunKey run, RunReport report) {
        Running running = server.runs().get(run);
        if (running == null) {
            return;
        }
        boolean plain = running.request().promptTokens() == 0;
        if (plain && report.outcome() == RunReport.Outcome.ANSWERED) {
            tookInRollout(server, running, report.totalMillis());
        }
        rollout()
                .ifPresent(
                        it ->
                                it.ended(
                                        server.server(),
                                        running.request().route(),
                                        report.outcome()));
    }

    /** Has the rollout, if any is under way, decide. */
    void decideRollout(long nowNanos) {
        if (rollout == null) {
            return;
        }
        rollout.nobodyWaits();
        int oldRuns = 0;
        boolean newServers = false;
        for (ServerState server : servers.all()) {
            boolean target = rollout.isTarget(server.server().version());
            oldRuns += target ? 0 : server.running();
            newServers |= target && !server.isLeaving();
            tellWaiting(server, nowNanos);
        }
        rollout.decide(nowNanos, oldRuns, newServers);
    }

    /** Tells the rollout which requests wait longer for their answers than usual. */
    private void tellWaiting(ServerState server, long nowNanos) {
        for (Running run : server.runs().values()) {
            double millis = (nowNanos - run.sentNanos()) / NANOS_PER_MILLI;
            double slowness = millis / speed.expectedMillis(run);
            if (run.waitsForFirst() && slowness > LONG_WAIT) {
                rollout.waits(server.server(), run.request().route(), slowness);
            }
        }
    }

    private int eventTokens() {
        return declared().map(Pool::eventTokens).orElse(1);
    }
}

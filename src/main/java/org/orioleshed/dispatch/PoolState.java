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
    private final PoolServers servers = new PoolServers();
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(QueuedRequest.URGENCY);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.URGENCY);
    private final Map<RunKey, QueuedRequest> waiters = new HashMap<>();
    private final PoolSpeed speed = new PoolSpeed();
    private final RankLoad load = new RankLoad();
    private Pool declared;
    private VersionMove move;

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

    /** Returns the move between versions that was ordered last. */
    Optional<VersionMove> move() {
        return Optional.ofNullable(move);
    }

    void move(VersionMove newMove) {
        move = newMove;
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
            if (b == null || (a != null && a.ask().rank() <= b.ask().rank())) {
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

    /** Returns how long a server of usual speed is busy with {@code ask}, in milliseconds. */
    double busyMillis(Ask ask) {
        if (ask.promptTokens() == 0) {
            return speed.plainMillis();
        }
        double events = (double) ask.outputTokens() / eventTokens();
        return speed.firstMillis(ask.promptTokens()) + events * speed.eventMillis();
    }

    /** Returns the same for those who wait, on average. */
    double waitersBusyMillis() {
        return waiters.values().stream()
                .mapToDouble(waiter -> busyMillis(waiter.ask()))
                .average()
                .orElse(0);
    }

    private int eventTokens() {
        return declared().map(Pool::eventTokens).orElse(1);
    }
}

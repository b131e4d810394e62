package org.orioleshed.trial;

import java.util.Comparator;
import java.util.TreeSet;

/** One queue before engines that get no more than they run at once; refuses nobody. */
final class OneQueue implements Policy {
    /** Who came first is next. */
    static final Comparator<TrialRequest> ARRIVAL =
            Comparator.comparingLong((TrialRequest request) -> request.cameNanos)
                    .thenComparingLong(request -> request.number);

    /** The more urgent rank is next, and of one rank who came first. */
    static final Comparator<TrialRequest> RANK =
            Comparator.comparingInt((TrialRequest request) -> request.kind.rank())
                    .thenComparing(ARRIVAL);

    private final Floor floor;
    private final TreeSet<TrialRequest> waiting;

    OneQueue(Floor floor, Comparator<TrialRequest> order) {
        this.floor = floor;
        this.waiting = new TreeSet<>(order);
    }

    @Override
    public void came(TrialRequest request, long nowNanos) {
        waiting.add(request);
        serve();
    }

    private void serve() {
        while (!waiting.isEmpty()) {
            int best = 0;
            for (int engine = 1; engine < floor.engines(); engine++) {
                best = floor.load(engine) < floor.load(best) ? engine : best;
            }
            if (floor.load(best) >= floor.slots()) {
                return;
            }
            floor.send(waiting.pollFirst(), best);
        }
    }

    @Override
    public void first(TrialRequest request, long nowNanos) {}

    @Override
    public void ended(TrialRequest request, int events, long nowNanos) {
        serve();
    }

    @Override
    public void left(TrialRequest request, long nowNanos) {
        waiting.remove(request);
        serve();
    }

    @Override
    public void tick(long nowNanos) {
        serve();
    }
}

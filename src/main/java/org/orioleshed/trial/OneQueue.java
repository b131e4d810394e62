package org.orioleshed.trial;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * A single queue in front of all engines. Each engine gets at most as many runs as it has slots; no
 * request is refused.
 */
final class OneQueue implements TrialPolicy {
    /** Orders requests by arrival. */
    static final Comparator<TrialRequest> BY_ARRIVAL =
            Comparator.comparingLong((TrialRequest request) -> request.arrivalNanos)
                    .thenComparingLong(request -> request.id);

    /** Orders requests by rank, and within a rank by arrival. */
    static final Comparator<TrialRequest> BY_RANK =
            Comparator.comparingInt((TrialRequest request) -> request.kind.rank())
                    .thenComparing(BY_ARRIVAL);

    private final Context context;
    private final TreeSet<TrialRequest> waiting;

    OneQueue(Context context, Comparator<TrialRequest> order) {
        this.context = context;
        this.waiting = new TreeSet<>(order);
    }

    @Override
    public void onArrival(TrialRequest request, long nowNanos) {
        waiting.add(request);
        dispatch();
    }

    private void dispatch() {
        while (!waiting.isEmpty()) {
            int leastLoaded = 0;
            for (int engine = 1; engine < context.engines(); engine++) {
                leastLoaded =
                        context.load(engine) < context.load(leastLoaded) ? engine : leastLoaded;
            }
            if (context.load(leastLoaded) >= context.slots()) {
                return;
            }
            context.send(waiting.pollFirst(), leastLoaded);
        }
    }

    @Override
    public void onFirstEvent(TrialRequest request, long nowNanos) {}

    @Override
    public void onCompleted(TrialRequest request, int events, long nowNanos) {
        dispatch();
    }

    @Override
    public void onCallerLeft(TrialRequest request, long nowNanos) {
        waiting.remove(request);
        dispatch();
    }

    @Override
    public void onTick(long nowNanos) {
        dispatch();
    }
}

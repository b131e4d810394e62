package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;

/** Estimates how long an offer of each tier would wait for a place on one engine. */
final class WaitEstimate {
    /** The wait of an urgent request that needs a run of a lower tier to be stopped. */
    private static final long PREEMPTION_MILLIS = 150;

    private final OfferQueue queue;
    private final Places places;
    private final ServerSpeed speed;
    private final Admission admission;
    private final boolean preempts;

    WaitEstimate(
            RoutingLimits limits,
            OfferQueue queue,
            Places places,
            ServerSpeed speed,
            Admission admission) {
        this.queue = queue;
        this.places = places;
        this.speed = speed;
        this.admission = admission;
        preempts = limits.policy() == Policy.ORIOLESHED;
    }

    /** Returns the expected wait of each rank from zero to the patient one, in milliseconds. */
    List<Long> byRank(long nowNanos, int limit, int maxPlaces) {
        List<Long> waits = new ArrayList<>();
        for (int rank = 0; rank <= Admission.PATIENT_RANK; rank++) {
            waits.add(millis(rank, nowNanos, limit, maxPlaces));
        }
        return waits;
    }

    /** Returns the expected wait of a new offer of {@code rank}, in milliseconds. */
    long millis(int rank, long nowNanos, int limit, int maxPlaces) {
        int ahead = queue.ranks().stream().filter(r -> r <= rank).mapToInt(queue::size).sum();
        int allowed = admission.allowance(rank, nowNanos, limit, maxPlaces);
        if (places.inFlight() + ahead < allowed) {
            return 0;
        }
        long yielding = places.running().stream().filter(r -> r.rank() > rank).count();
        if (preempts && rank == 0 && ahead < yielding) {
            return PREEMPTION_MILLIS;
        }
        long work = queue.workMillisUpTo(rank) + meanRemainingMillis(nowNanos);
        return work / Math.max(1, allowed);
    }

    private long meanRemainingMillis(long nowNanos) {
        if (places.runningCount() == 0) {
            return 0;
        }
        long sum = 0;
        for (Running run : places.running()) {
            sum += speed.remainingMillis(run, nowNanos);
        }
        return sum / places.runningCount();
    }
}

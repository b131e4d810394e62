package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;

/** Estimates how long an offer of each tier would wait for a place on one engine. */
final class WaitEstimate {
    /** The wait of an urgent request that needs a run of a lower tier to be stopped. */
    private static final long PREEMPTION_WAIT_MILLIS = 150;

    private final OfferQueue queue;
    private final Slots slots;
    private final ServerSpeed speed;
    private final SlotScheduler scheduler;
    private final boolean preempts;

    WaitEstimate(
            RoutingLimits limits,
            OfferQueue queue,
            Slots slots,
            ServerSpeed speed,
            SlotScheduler scheduler) {
        this.queue = queue;
        this.slots = slots;
        this.speed = speed;
        this.scheduler = scheduler;
        preempts = limits.policy() == Policy.ORIOLESHED;
    }

    /** Returns the expected wait of each rank from zero to the patient one, in milliseconds. */
    List<Long> byRank(long nowNanos, int limit, int maxSlots) {
        List<Long> waits = new ArrayList<>();
        for (int rank = 0; rank <= SlotScheduler.PATIENT_RANK; rank++) {
            waits.add(millis(rank, nowNanos, limit, maxSlots));
        }
        return waits;
    }

    /** Returns the expected wait of a new offer of {@code rank}, in milliseconds. */
    long millis(int rank, long nowNanos, int limit, int maxSlots) {
        int ahead = queue.ranks().stream().filter(r -> r <= rank).mapToInt(queue::size).sum();
        int allowed = scheduler.allowance(rank, nowNanos, limit, maxSlots);
        if (slots.inFlight() + ahead < allowed) {
            return 0;
        }
        long lowerTier = slots.running().stream().filter(r -> r.rank() > rank).count();
        if (preempts && rank == 0 && ahead < lowerTier) {
            return PREEMPTION_WAIT_MILLIS;
        }
        long work = queue.workMillisUpTo(rank) + meanRemainingMillis(nowNanos);
        return work / Math.max(1, allowed);
    }

    private long meanRemainingMillis(long nowNanos) {
        if (slots.runningCount() == 0) {
            return 0;
        }
        long sum = 0;
        for (ActiveRun run : slots.running()) {
            sum += speed.remainingMillis(run, nowNanos);
        }
        return sum / slots.runningCount();
    }
}

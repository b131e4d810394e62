package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;

/** Estimates the wait for a slot on one engine, by tier rank. */
final class WaitEstimate {
    /** The expected wait of an urgent request that preempts a run of a lower tier. */
    private static final long PREEMPTION_WAIT_MILLIS = 150;

    private final OfferQueue queue;
    private final Slots slots;
    private final ServerSpeed speed;
    private final SlotScheduler scheduler;
    private final boolean preemptionEnabled;

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
        preemptionEnabled = limits.policy() == Policy.ORIOLESHED;
    }

    /** Returns the expected wait of each rank from zero to the patient tier's, in milliseconds. */
    List<Long> byRank(long nowNanos, int limit, int maxSlots) {
        List<Long> waits = new ArrayList<>();
        for (int rank = 0; rank <= SlotScheduler.PATIENT_RANK; rank++) {
            waits.add(millis(rank, nowNanos, limit, maxSlots));
        }
        return waits;
    }

    /** Returns the expected wait of a new offer of {@code rank}, in milliseconds. */
    long millis(int rank, long nowNanos, int limit, int maxSlots) {
        int waitingAhead =
                queue.ranks().stream().filter(r -> r <= rank).mapToInt(queue::size).sum();
        int allowed = scheduler.allowance(rank, nowNanos, limit, maxSlots);
        if (slots.inFlight() + waitingAhead < allowed) {
            return 0;
        }
        long lowerTierRuns = slots.running().stream().filter(r -> r.rank() > rank).count();
        if (preemptionEnabled && rank == 0 && waitingAhead < lowerTierRuns) {
            return PREEMPTION_WAIT_MILLIS;
        }
        long workMillis = queue.workMillisUpTo(rank) + meanRemainingMillis(nowNanos);
        return workMillis / Math.max(1, allowed);
    }

    private long meanRemainingMillis(long nowNanos) {
        if (slots.runningCount() == 0) {
            return 0;
        }
        long totalMillis = 0;
        for (EngineRun run : slots.running()) {
            totalMillis += speed.remainingMillis(run, nowNanos);
        }
        return totalMillis / slots.runningCount();
    }
}

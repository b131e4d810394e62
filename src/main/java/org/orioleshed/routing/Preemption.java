package org.orioleshed.routing;

import java.util.Comparator;
import java.util.List;
import org.orioleshed.model.ServerId;

/**
 * Chooses the runs to preempt for urgent requests: those of the lowest tier first, and within a
 * tier those with the least wasted work.
 */
final class Preemption {
    private static final double SAFETY_FACTOR = 1.25;
    private static final long REQUEUE_MILLIS = 500;

    /**
     * A cancel that the engine has not confirmed after this time no longer counts as a slot
     * becoming free.
     */
    private static final long CANCEL_CONFIRM_NANOS = 500_000_000L;

    /**
     * The minimum time that an urgent request waits for a slot to become free before it preempts.
     */
    private static final long MIN_DELAY_MILLIS = 100;

    private static final long DELAY_JITTER_MILLIS = 300;

    private final RoutingLimits limits;
    private final OfferQueue queue;
    private final Slots slots;
    private final ServerSpeed speed;
    private final long salt;

    Preemption(
            RoutingLimits limits,
            OfferQueue queue,
            Slots slots,
            ServerSpeed speed,
            ServerId server) {
        salt = HashMix.mix(server.hashCode());
        this.limits = limits;
        this.queue = queue;
        this.slots = slots;
        this.speed = speed;
    }

    /**
     * Returns the runs to preempt now.
     *
     * @param free slots that urgent requests may take without preemption
     */
    List<EngineRun> victims(DecisionContext context, int free) {
        if (limits.policy() == Policy.NAIVE || slots.running().isEmpty()) {
            return List.of();
        }
        int becomingFree = free + slots.stoppedSince(context.nowNanos() - CANCEL_CONFIRM_NANOS);
        List<WaitingOffer> pressing = queue.tier(0).matching(w -> needsPreemption(w, context));
        int needed = pressing.size() - becomingFree;
        if (needed <= 0) {
            return List.of();
        }
        boolean lastResort = pressing.stream().anyMatch(w -> wouldBeShed(w, context));
        return choose(context, needed, lastResort);
    }

    /** Returns all runs of less urgent tiers than {@code rank}, including protected ones. */
    List<EngineRun> allBelow(int rank) {
        if (limits.policy() == Policy.NAIVE) {
            return List.of();
        }
        return slots.running().stream().filter(r -> r.rank() > rank && !r.stopping()).toList();
    }

    private List<EngineRun> choose(DecisionContext context, int needed, boolean lastResort) {
        Comparator<EngineRun> order =
                Comparator.comparing((EngineRun r) -> isProtected(r, context))
                        .thenComparing(EngineRun::rank, Comparator.reverseOrder())
                        .thenComparingLong(r -> speed.wasteMillis(r, context.nowNanos()))
                        .thenComparing(EngineRun::run, WaitingOffer.BY_RUN);
        return slots.running().stream()
                .filter(r -> r.rank() > 0 && !r.stopping())
                .filter(r -> lastResort || !isProtected(r, context))
                .sorted(order)
                .limit(needed)
                .toList();
    }

    private boolean needsPreemption(WaitingOffer waiting, DecisionContext context) {
        // The delay varies between the owners that hold the same offer, so that not all of them
        // preempt.
        long hash = HashMix.mix(salt ^ waiting.run().hashCode());
        long delayMillis = MIN_DELAY_MILLIS + Math.floorMod(hash, DELAY_JITTER_MILLIS);
        return queue.size(0) >= slots.inFlight()
                || -context.millisUntil(waiting.queuedNanos()) >= delayMillis
                || wouldBeShed(waiting, context);
    }

    private boolean wouldBeShed(WaitingOffer waiting, DecisionContext context) {
        long leftMillis = context.millisUntil(waiting.deadlineNanos());
        return leftMillis < waiting.safeMillis() * SAFETY_FACTOR + REQUEUE_MILLIS;
    }

    /**
     * Returns whether a run may be preempted only if an urgent request would otherwise be shed: it
     * has reached the maximum number of preemptions, or preemption would make it miss a deadline
     * that it can meet otherwise.
     */
    boolean isProtected(EngineRun run, DecisionContext context) {
        if (run.waiting().offer().preemptions() >= limits.maxPreemptions()) {
            return true;
        }
        long remainingMillis = speed.remainingMillis(run, context.nowNanos());
        long restartMillis = remainingMillis + speed.wasteMillis(run, context.nowNanos());
        long leftMillis = context.millisUntil(run.waiting().deadlineNanos());
        boolean meetsDeadline = leftMillis >= remainingMillis;
        boolean restartMissesDeadline = leftMillis < restartMillis * SAFETY_FACTOR + REQUEUE_MILLIS;
        return meetsDeadline && restartMissesDeadline;
    }
}

package org.orioleshed.routing;

import java.util.Comparator;
import java.util.List;
import org.orioleshed.model.ServerId;

/**
 * Chooses the runs that give their places to urgent requests: those of the lowest tier first, and
 * among them those whose stop wastes least.
 */
final class Preemption {
    private static final double SAFETY_FACTOR = 1.25;
    private static final long REQUEUE_MILLIS = 500;

    /** An engine that did not confirm a cancel for so long is not counted on. */
    private static final long CANCEL_CONFIRM_NANOS = 500_000_000L;

    /** How long an urgent request waits at least for a place to become free by itself. */
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
     * Returns the runs to stop now.
     *
     * @param free places that urgent work may take without any stop
     */
    List<ActiveRun> victims(DecisionContext context, int free) {
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

    /** Returns all runs of lower tiers than {@code rank}, the protected ones included. */
    List<ActiveRun> allBelow(int rank) {
        if (limits.policy() == Policy.NAIVE) {
            return List.of();
        }
        return slots.running().stream().filter(r -> r.rank() > rank && !r.stopping()).toList();
    }

    private List<ActiveRun> choose(DecisionContext context, int needed, boolean lastResort) {
        Comparator<ActiveRun> order =
                Comparator.comparing((ActiveRun r) -> isProtected(r, context))
                        .thenComparing(ActiveRun::rank, Comparator.reverseOrder())
                        .thenComparingLong(r -> speed.wasteMillis(r, context.nowNanos()))
                        .thenComparing(ActiveRun::run, WaitingOffer.BY_RUN);
        return slots.running().stream()
                .filter(r -> r.rank() > 0 && !r.stopping())
                .filter(r -> lastResort || !isProtected(r, context))
                .sorted(order)
                .limit(needed)
                .toList();
    }

    private boolean needsPreemption(WaitingOffer waiting, DecisionContext context) {
        // Owners that hold the same offer wait for different times, so that not all of them
        // preempt.
        long spread = HashMix.mix(salt ^ waiting.run().hashCode());
        long delayMillis = MIN_DELAY_MILLIS + Math.floorMod(spread, DELAY_JITTER_MILLIS);
        return queue.size(0) >= slots.inFlight()
                || -context.millisUntil(waiting.queuedNanos()) >= delayMillis
                || wouldBeShed(waiting, context);
    }

    private boolean wouldBeShed(WaitingOffer waiting, DecisionContext context) {
        long leftMillis = context.millisUntil(waiting.deadlineNanos());
        return leftMillis < waiting.safeMillis() * SAFETY_FACTOR + REQUEUE_MILLIS;
    }

    /**
     * Returns whether a run must be let alone unless an urgent request would be shed otherwise: it
     * was preempted often enough, or it would miss a deadline that it can meet if it goes on.
     */
    boolean isProtected(ActiveRun run, DecisionContext context) {
        if (run.waiting().offer().preemptions() >= limits.maxPreemptions()) {
            return true;
        }
        long remaining = speed.remainingMillis(run, context.nowNanos());
        long restartMillis = remaining + speed.wasteMillis(run, context.nowNanos());
        long leftMillis = context.millisUntil(run.waiting().deadlineNanos());
        boolean meetsDeadline = leftMillis >= remaining;
        boolean wouldMiss = leftMillis < restartMillis * SAFETY_FACTOR + REQUEUE_MILLIS;
        return meetsDeadline && wouldMiss;
    }
}

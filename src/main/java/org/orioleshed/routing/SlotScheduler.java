package org.orioleshed.routing;

import java.util.Optional;
import org.orioleshed.model.Tier;

/**
 * Decides which waiting offer gets the next slot of one engine: by tier, weighted fairness between
 * workspaces, and deadline. Reserves slots for urgent requests, and for patient requests whose
 * latest safe start time is near.
 */
final class SlotScheduler {
    static final int PATIENT_RANK = Tier.PATIENT.rank();

    private static final int MIN_SLOTS_WITH_RESERVE = 3;
    private static final int SLOTS_PER_RESERVED = 16;

    /** An offer is due when its run is expected to take at least this share of the time left. */
    private static final double START_DUE_SHARE = 0.5;

    /** The minimum number of owners that an offer waits at. */
    private static final double MIN_OWNERS_PER_OFFER = 2;

    private static final long URGENT_RETENTION_NANOS = 10_000_000_000L;

    private final Policy policy;
    private final OfferQueue queue;
    private final Slots slots;
    private long lastUrgentNanos = Long.MIN_VALUE;
    private int patientReserve;
    private int freedForUrgent;

    SlotScheduler(Policy policy, OfferQueue queue, Slots slots) {
        this.policy = policy;
        this.queue = queue;
        this.slots = slots;
    }

    void recordOffer(int rank, long nowNanos) {
        if (rank == 0) {
            lastUrgentNanos = nowNanos;
        }
    }

    /** Records that a preempted run has left the engine: an urgent request may take its slot. */
    void recordPreempted() {
        freedForUrgent++;
    }

    /** Refunds the charge for a slot that was given to {@code waiting} and not used. */
    void refund(WaitingOffer waiting) {
        queue.refund(waiting);
    }

    int freedForUrgent() {
        return freedForUrgent;
    }

    /**
     * Removes and returns the next offer to grant a slot to; empty when none may be granted now.
     */
    Optional<WaitingOffer> take(DecisionContext context, int limit, int maxSlots) {
        if (queue.size(0) == 0) {
            freedForUrgent = 0;
        }
        Optional<WaitingOffer> next =
                policy == Policy.NAIVE
                        ? nextFirstInFirstOut(maxSlots)
                        : next(context, limit, maxSlots);
        next.ifPresent(queue::take);
        return next;
    }

    /**
     * Returns the number of slots that may be in use, at most, once a request of {@code rank} is
     * granted one.
     */
    int allowance(int rank, long nowNanos, int limit, int maxSlots) {
        if (policy == Policy.NAIVE) {
            return maxSlots;
        }
        if (rank == 0) {
            return slots.holdsLowerTier(0) ? Math.min(maxSlots, limit + 1) : limit;
        }
        return limit - urgentReserve(nowNanos, limit);
    }

    /**
     * Sets the number of slots for which patient requests take precedence: the sum, over the
     * waiting offers, of expected work divided by time left. The number grows as their latest safe
     * start times approach.
     */
    void reservePatient(DecisionContext context, int limit) {
        double needed = 0;
        double maxShare = 0;
        for (int rank : queue.ranks()) {
            if (rank >= PATIENT_RANK && policy == Policy.ORIOLESHED) {
                for (WaitingOffer waiting : queue.tier(rank).matching(w -> true)) {
                    double share = neededSlots(waiting, context);
                    needed += share;
                    maxShare = Math.max(maxShare, share);
                }
            }
        }
        long reserve = Math.round(needed / MIN_OWNERS_PER_OFFER);
        if (maxShare >= START_DUE_SHARE) {
            reserve = Math.max(1, reserve);
        }
        patientReserve = (int) Math.min(reserve, Math.max(1, limit / 4));
    }

    int patientReserve() {
        return patientReserve;
    }

    private static double neededSlots(WaitingOffer waiting, DecisionContext context) {
        long leftMillis = context.millisUntil(waiting.deadlineNanos());
        if (leftMillis < waiting.workMillis() / 2) {
            return 0;
        }
        return Math.min(1, (double) waiting.safeMillis() / Math.max(1, leftMillis));
    }

    private Optional<WaitingOffer> nextFirstInFirstOut(int maxSlots) {
        return slots.inFlight() < maxSlots ? queue.firstOfAll() : Optional.empty();
    }

    private Optional<WaitingOffer> next(DecisionContext context, int limit, int maxSlots) {
        Optional<WaitingOffer> urgent = nextUrgent(context, limit, maxSlots);
        if (urgent.isPresent()) {
            return urgent;
        }
        int allowed = allowance(1, context.nowNanos(), limit, maxSlots);
        if (slots.inFlight() >= allowed) {
            return Optional.empty();
        }
        if (slots.countFromRank(PATIENT_RANK) < patientReserve) {
            Optional<WaitingOffer> due = earliestPatient();
            if (due.isPresent()) {
                return due;
            }
        }
        for (int rank : queue.ranks()) {
            Optional<WaitingOffer> next =
                    rank < PATIENT_RANK ? nextByFairShare(rank) : nextPatient(rank, context, limit);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    private Optional<WaitingOffer> nextUrgent(DecisionContext context, int limit, int maxSlots) {
        if (queue.size(0) == 0) {
            return Optional.empty();
        }
        if (slots.inFlight() < allowance(0, context.nowNanos(), limit, maxSlots)) {
            return nextByFairShare(0);
        }
        if (freedForUrgent > 0 && slots.inFlight() < maxSlots) {
            freedForUrgent--;
            return nextByFairShare(0);
        }
        return Optional.empty();
    }

    private Optional<WaitingOffer> nextByFairShare(int rank) {
        return queue.tier(rank).next(OfferQueue::anyWorkspace);
    }

    private Optional<WaitingOffer> nextPatient(int rank, DecisionContext context, int limit) {
        boolean spare = slots.inFlight() < Math.max(1, limit / 2);
        return queue.tier(rank).next(id -> spare || context.inPatienceWindow(id));
    }

    private Optional<WaitingOffer> earliestPatient() {
        return queue.ranks().stream()
                .filter(rank -> rank >= PATIENT_RANK)
                .flatMap(rank -> queue.tier(rank).earliest().stream())
                .min(WaitingOffer.BY_DEADLINE);
    }

    private int urgentReserve(long nowNanos, int limit) {
        boolean urgentSeen =
                lastUrgentNanos != Long.MIN_VALUE
                        && nowNanos - lastUrgentNanos < URGENT_RETENTION_NANOS;
        if (!urgentSeen || limit < MIN_SLOTS_WITH_RESERVE) {
            return 0;
        }
        return Math.max(1, limit / SLOTS_PER_RESERVED);
    }
}

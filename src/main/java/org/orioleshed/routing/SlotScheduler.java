package org.orioleshed.routing;

import java.util.Optional;
import org.orioleshed.model.Tier;

/**
 * Decides which waiting offer gets the next place of one engine: by tier, weighted fairness between
 * workspaces, and deadline. Holds places back for urgent work, and for patient work whose last safe
 * start comes near.
 */
final class SlotScheduler {
    static final int PATIENT_RANK = Tier.PATIENT.rank();

    private static final int MIN_SLOTS_WITH_RESERVE = 3;
    private static final int SLOTS_PER_RESERVED = 16;

    /** The share of its time left that a run is expected to take when its start is due. */
    private static final double START_DUE_SHARE = 0.5;

    /** At how many owners an offer waits at least. */
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

    void offered(int rank, long nowNanos) {
        if (rank == 0) {
            lastUrgentNanos = nowNanos;
        }
    }

    /** Notes that a preempted run is off the engine: an urgent request may have its place. */
    void preempted() {
        freedForUrgent++;
    }

    /** Notes that a place given to {@code waiting} was not used. */
    void unused(WaitingOffer waiting) {
        queue.refund(waiting);
    }

    int freedForUrgent() {
        return freedForUrgent;
    }

    /** Returns the offer to give a place to now, and takes it off the queue. */
    Optional<WaitingOffer> take(DecisionContext context, int limit, int maxSlots) {
        if (queue.size(0) == 0) {
            freedForUrgent = 0;
        }
        Optional<WaitingOffer> next =
                policy == Policy.NAIVE ? firstIn(maxSlots) : next(context, limit, maxSlots);
        next.ifPresent(queue::take);
        return next;
    }

    /** Returns how many places work of {@code rank} may fill at present. */
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
     * Sets the places that patient work goes first for: the sum, over what waits, of expected work
     * against time left. It grows as last safe starts come near.
     */
    void reservePatient(DecisionContext context, int limit) {
        double needed = 0;
        double most = 0;
        for (int rank : queue.ranks()) {
            if (rank >= PATIENT_RANK && policy == Policy.ORIOLESHED) {
                for (WaitingOffer waiting : queue.tier(rank).matching(w -> true)) {
                    double share = neededSlots(waiting, context);
                    needed += share;
                    most = Math.max(most, share);
                }
            }
        }
        long reserve = Math.round(needed / MIN_OWNERS_PER_OFFER);
        if (most >= START_DUE_SHARE) {
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

    private Optional<WaitingOffer> firstIn(int maxSlots) {
        return slots.inFlight() < maxSlots ? queue.firstOfAll() : Optional.empty();
    }

    private Optional<WaitingOffer> next(DecisionContext context, int limit, int maxSlots) {
        Optional<WaitingOffer> urgent = urgent(context, limit, maxSlots);
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
                    rank < PATIENT_RANK ? roundRobin(rank) : patient(rank, context, limit);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    private Optional<WaitingOffer> urgent(DecisionContext context, int limit, int maxSlots) {
        if (queue.size(0) == 0) {
            return Optional.empty();
        }
        if (slots.inFlight() < allowance(0, context.nowNanos(), limit, maxSlots)) {
            return roundRobin(0);
        }
        if (freedForUrgent > 0 && slots.inFlight() < maxSlots) {
            freedForUrgent--;
            return roundRobin(0);
        }
        return Optional.empty();
    }

    private Optional<WaitingOffer> roundRobin(int rank) {
        return queue.tier(rank).next(OfferQueue::anyWorkspace);
    }

    private Optional<WaitingOffer> patient(int rank, DecisionContext context, int limit) {
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

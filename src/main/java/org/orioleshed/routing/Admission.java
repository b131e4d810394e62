package org.orioleshed.routing;

import java.util.Optional;
import org.orioleshed.model.Tier;

/**
 * Decides which waiting offer gets the next place of one engine: by tier, weighted fairness between
 * workspaces, and deadline. Holds places back for urgent work, and for patient work whose last safe
 * start comes near.
 */
final class Admission {
    static final int PATIENT_RANK = Tier.PATIENT.rank();

    private static final int FEWEST_PLACES_WITH_RESERVE = 3;
    private static final int PLACES_PER_RESERVED = 16;

    /** The share of its time left that a run is expected to take when its start is due. */
    private static final double NEAR_LAST_SAFE_START = 0.5;

    /** At how many owners an offer waits at least. */
    private static final double HOMES_PER_OFFER = 2;

    private static final long URGENT_MEMORY_NANOS = 10_000_000_000L;

    private final Policy policy;
    private final OfferQueue queue;
    private final Places places;
    private long lastUrgentNanos = Long.MIN_VALUE;
    private int patientReserve;
    private int swaps;

    Admission(Policy policy, OfferQueue queue, Places places) {
        this.policy = policy;
        this.queue = queue;
        this.places = places;
    }

    void offered(int rank, long nowNanos) {
        if (rank == 0) {
            lastUrgentNanos = nowNanos;
        }
    }

    /** Notes that a preempted run is off the engine: an urgent request may have its place. */
    void preempted() {
        swaps++;
    }

    /** Notes that a place given to {@code waiting} was not used. */
    void unused(Waiting waiting) {
        queue.refund(waiting);
    }

    int swaps() {
        return swaps;
    }

    /** Returns the offer to give a place to now, and takes it off the queue. */
    Optional<Waiting> take(Moment moment, int limit, int maxPlaces) {
        if (queue.size(0) == 0) {
            swaps = 0;
        }
        Optional<Waiting> next =
                policy == Policy.NAIVE ? firstIn(maxPlaces) : next(moment, limit, maxPlaces);
        next.ifPresent(queue::take);
        return next;
    }

    /** Returns how many places work of {@code rank} may fill at present. */
    int allowance(int rank, long nowNanos, int limit, int maxPlaces) {
        if (policy == Policy.NAIVE) {
            return maxPlaces;
        }
        if (rank == 0) {
            return places.holdsBelow(0) ? Math.min(maxPlaces, limit + 1) : limit;
        }
        return limit - urgentReserve(nowNanos, limit);
    }

    /**
     * Sets the places that patient work goes first for: the sum, over what waits, of expected work
     * against time left. It grows as last safe starts come near.
     */
    void reservePatient(Moment moment, int limit) {
        double needed = 0;
        double most = 0;
        for (int rank : queue.ranks()) {
            if (rank >= PATIENT_RANK && policy == Policy.ORIOLESHED) {
                for (Waiting waiting : queue.tier(rank).matching(w -> true)) {
                    double share = neededPlaces(waiting, moment);
                    needed += share;
                    most = Math.max(most, share);
                }
            }
        }
        long reserve = Math.round(needed / HOMES_PER_OFFER);
        if (most >= NEAR_LAST_SAFE_START) {
            reserve = Math.max(1, reserve);
        }
        patientReserve = (int) Math.min(reserve, Math.max(1, limit / 4));
    }

    int patientReserve() {
        return patientReserve;
    }

    private static double neededPlaces(Waiting waiting, Moment moment) {
        long leftMillis = moment.millisUntil(waiting.deadlineNanos());
        if (leftMillis < waiting.workMillis() / 2) {
            return 0;
        }
        return Math.min(1, (double) waiting.safeMillis() / Math.max(1, leftMillis));
    }

    private Optional<Waiting> firstIn(int maxPlaces) {
        return places.inFlight() < maxPlaces ? queue.firstOfAll() : Optional.empty();
    }

    private Optional<Waiting> next(Moment moment, int limit, int maxPlaces) {
        Optional<Waiting> urgent = urgent(moment, limit, maxPlaces);
        if (urgent.isPresent()) {
            return urgent;
        }
        int allowed = allowance(1, moment.nowNanos(), limit, maxPlaces);
        if (places.inFlight() >= allowed) {
            return Optional.empty();
        }
        if (places.heldFrom(PATIENT_RANK) < patientReserve) {
            Optional<Waiting> due = earliestPatient();
            if (due.isPresent()) {
                return due;
            }
        }
        for (int rank : queue.ranks()) {
            Optional<Waiting> next =
                    rank < PATIENT_RANK ? inTurn(rank) : patient(rank, moment, limit);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    private Optional<Waiting> urgent(Moment moment, int limit, int maxPlaces) {
        if (queue.size(0) == 0) {
            return Optional.empty();
        }
        if (places.inFlight() < allowance(0, moment.nowNanos(), limit, maxPlaces)) {
            return inTurn(0);
        }
        if (swaps > 0 && places.inFlight() < maxPlaces) {
            swaps--;
            return inTurn(0);
        }
        return Optional.empty();
    }

    private Optional<Waiting> inTurn(int rank) {
        return queue.tier(rank).next(OfferQueue::anyWorkspace);
    }

    private Optional<Waiting> patient(int rank, Moment moment, int limit) {
        boolean spare = places.inFlight() < Math.max(1, limit / 2);
        return queue.tier(rank).next(id -> spare || moment.inPatienceWindow(id));
    }

    private Optional<Waiting> earliestPatient() {
        return queue.ranks().stream()
                .filter(rank -> rank >= PATIENT_RANK)
                .flatMap(rank -> queue.tier(rank).earliest().stream())
                .min(Waiting.BY_DEADLINE);
    }

    private int urgentReserve(long nowNanos, int limit) {
        boolean urgentSeen =
                lastUrgentNanos != Long.MIN_VALUE
                        && nowNanos - lastUrgentNanos < URGENT_MEMORY_NANOS;
        if (!urgentSeen || limit < FEWEST_PLACES_WITH_RESERVE) {
            return 0;
        }
        return Math.max(1, limit / PLACES_PER_RESERVED);
    }
}

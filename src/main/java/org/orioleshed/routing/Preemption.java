package org.orioleshed.routing;

import java.util.Comparator;
import java.util.List;
import org.orioleshed.model.ServerId;

/**
 * Chooses the runs that give their places to urgent requests: those of the lowest tier first, and
 * among them those whose stop wastes least.
 */
final class Preemption {
    private static final double SAFETY = 1.25;
    private static final long REQUEUE_MILLIS = 500;

    /** An engine that did not confirm a cancel for so long is not counted on. */
    private static final long CANCEL_NANOS = 500_000_000L;

    /** How long an urgent request waits at least for a place to become free by itself. */
    private static final long SHORTEST_DELAY_MILLIS = 100;

    private static final long DELAY_SPREAD_MILLIS = 300;

    private final RoutingLimits limits;
    private final OfferQueue queue;
    private final Places places;
    private final ServerSpeed speed;
    private final long salt;

    Preemption(
            RoutingLimits limits,
            OfferQueue queue,
            Places places,
            ServerSpeed speed,
            ServerId server) {
        salt = Spread.mix(server.hashCode());
        this.limits = limits;
        this.queue = queue;
        this.places = places;
        this.speed = speed;
    }

    /**
     * Returns the runs to stop now.
     *
     * @param free places that urgent work may take without any stop
     */
    List<Running> victims(Moment moment, int free) {
        if (limits.policy() == Policy.NAIVE || places.running().isEmpty()) {
            return List.of();
        }
        int onTheWay = free + places.stoppedSince(moment.nowNanos() - CANCEL_NANOS);
        List<Waiting> pressed = queue.tier(0).matching(w -> presses(w, moment));
        int needed = pressed.size() - onTheWay;
        if (needed <= 0) {
            return List.of();
        }
        boolean lastResort = pressed.stream().anyMatch(w -> wouldBeShed(w, moment));
        return choose(moment, needed, lastResort);
    }

    /** Returns all runs of lower tiers than {@code rank}, the protected ones included. */
    List<Running> allBelow(int rank) {
        if (limits.policy() == Policy.NAIVE) {
            return List.of();
        }
        return places.running().stream().filter(r -> r.rank() > rank && !r.stopping()).toList();
    }

    private List<Running> choose(Moment moment, int needed, boolean lastResort) {
        Comparator<Running> order =
                Comparator.comparing((Running r) -> isProtected(r, moment))
                        .thenComparing(Running::rank, Comparator.reverseOrder())
                        .thenComparingLong(r -> speed.wasteMillis(r, moment.nowNanos()))
                        .thenComparing(Running::run, Waiting.BY_RUN);
        return places.running().stream()
                .filter(r -> r.rank() > 0 && !r.stopping())
                .filter(r -> lastResort || !isProtected(r, moment))
                .sorted(order)
                .limit(needed)
                .toList();
    }

    private boolean presses(Waiting waiting, Moment moment) {
        // Owners that hold the same offer wait for different times, so that not all of them
        // preempt.
        long spread = Spread.mix(salt ^ waiting.run().hashCode());
        long delayMillis = SHORTEST_DELAY_MILLIS + Math.floorMod(spread, DELAY_SPREAD_MILLIS);
        return queue.size(0) >= places.inFlight()
                || -moment.millisUntil(waiting.queuedNanos()) >= delayMillis
                || wouldBeShed(waiting, moment);
    }

    private boolean wouldBeShed(Waiting waiting, Moment moment) {
        long leftMillis = moment.millisUntil(waiting.deadlineNanos());
        return leftMillis < waiting.safeMillis() * SAFETY + REQUEUE_MILLIS;
    }

    /**
     * Returns whether a run must be let alone unless an urgent request would be shed otherwise: it
     * was preempted often enough, or it would miss a deadline that it can meet if it goes on.
     */
    boolean isProtected(Running run, Moment moment) {
        if (run.waiting().offer().preemptions() >= limits.maxPreemptions()) {
            return true;
        }
        long remaining = speed.remainingMillis(run, moment.nowNanos());
        long again = remaining + speed.wasteMillis(run, moment.nowNanos());
        long leftMillis = moment.millisUntil(run.waiting().deadlineNanos());
        boolean meetsIt = leftMillis >= remaining;
        boolean wouldMiss = leftMillis < again * SAFETY + REQUEUE_MILLIS;
        return meetsIt && wouldMiss;
    }
}

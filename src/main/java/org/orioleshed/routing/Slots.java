package org.orioleshed.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.orioleshed.model.RunId;

/** The places of one engine: those reserved by a grant, and those that runs hold. */
final class Slots {
    private final Map<RunId, Reservation> reserved = new LinkedHashMap<>();
    private final Map<RunId, ActiveRun> running = new LinkedHashMap<>();

    int inFlight() {
        return reserved.size() + running.size();
    }

    int runningCount() {
        return running.size();
    }

    /** Returns whether no accepting host waits for anything here. */
    boolean isIdle() {
        return reserved.isEmpty() && running.values().stream().allMatch(ActiveRun::endReported);
    }

    boolean isEmpty() {
        return reserved.isEmpty() && running.isEmpty();
    }

    Collection<ActiveRun> running() {
        return running.values();
    }

    Collection<Reservation> reserved() {
        return reserved.values();
    }

    Optional<ActiveRun> run(RunId run) {
        return Optional.ofNullable(running.get(run));
    }

    Optional<Reservation> reservation(RunId run) {
        return Optional.ofNullable(reserved.get(run));
    }

    void reserve(WaitingOffer waiting, long untilNanos) {
        reserved.put(waiting.run(), new Reservation(waiting, untilNanos));
    }

    Optional<Reservation> release(RunId run) {
        return Optional.ofNullable(reserved.remove(run));
    }

    void start(ActiveRun run) {
        reserved.remove(run.run());
        running.put(run.run(), run);
    }

    void end(RunId run) {
        running.remove(run);
    }

    /** Returns how many places work of at least {@code rank} holds. */
    int countFromRank(int rank) {
        return (int) ranks().filter(held -> held >= rank).count();
    }

    /** Returns how many runs were asked to stop after {@code sinceNanos} and will free a place. */
    int stoppedSince(long sinceNanos) {
        return (int)
                running.values().stream()
                        .filter(r -> r.stopping() && r.stopNanos() - sinceNanos >= 0)
                        .count();
    }

    /** Returns whether work of a lower tier than {@code rank} holds a place. */
    boolean holdsLowerTier(int rank) {
        return ranks().anyMatch(held -> held > rank);
    }

    private Stream<Integer> ranks() {
        return Stream.concat(
                reserved.values().stream().map(r -> r.waiting().rank()),
                running.values().stream().map(ActiveRun::rank));
    }

    /**
     * A place kept for a run whose body is on its way.
     *
     * @param waiting the run
     * @param untilNanos when the place is given up
     */
    record Reservation(WaitingOffer waiting, long untilNanos) {}
}

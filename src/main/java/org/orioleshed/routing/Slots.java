package org.orioleshed.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.orioleshed.model.RunId;

/** The slots of one engine that are in use: those reserved by a grant, and those held by runs. */
final class Slots {
    private final Map<RunId, Reservation> reserved = new LinkedHashMap<>();
    private final Map<RunId, EngineRun> running = new LinkedHashMap<>();

    int inFlight() {
        return reserved.size() + running.size();
    }

    int runningCount() {
        return running.size();
    }

    /** Returns whether no accepting host waits for a response. */
    boolean isIdle() {
        return reserved.isEmpty() && running.values().stream().allMatch(EngineRun::endReported);
    }

    boolean isEmpty() {
        return reserved.isEmpty() && running.isEmpty();
    }

    Collection<EngineRun> running() {
        return running.values();
    }

    Collection<Reservation> reserved() {
        return reserved.values();
    }

    Optional<EngineRun> run(RunId run) {
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

    void start(EngineRun run) {
        reserved.remove(run.run());
        running.put(run.run(), run);
    }

    void end(RunId run) {
        running.remove(run);
    }

    /** Returns the number of slots held by requests of {@code rank} or a less urgent one. */
    int countFromRank(int rank) {
        return (int) ranks().filter(held -> held >= rank).count();
    }

    /** Returns the number of runs cancelled since {@code sinceNanos} that still hold a slot. */
    int stoppedSince(long sinceNanos) {
        return (int)
                running.values().stream()
                        .filter(r -> r.stopping() && r.stopNanos() - sinceNanos >= 0)
                        .count();
    }

    /** Returns whether a request of a less urgent tier than {@code rank} holds a slot. */
    boolean holdsLowerTier(int rank) {
        return ranks().anyMatch(held -> held > rank);
    }

    private Stream<Integer> ranks() {
        return Stream.concat(
                reserved.values().stream().map(r -> r.waiting().rank()),
                running.values().stream().map(EngineRun::rank));
    }

    /**
     * A slot reserved for a run whose body has not arrived yet.
     *
     * @param waiting the run
     * @param untilNanos when the reservation expires, on the host's monotonic clock
     */
    record Reservation(WaitingOffer waiting, long untilNanos) {}
}

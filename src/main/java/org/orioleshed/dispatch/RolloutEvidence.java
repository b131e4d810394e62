package org.orioleshed.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * The outcomes and times of runs on servers of the old and new version in a rollout, by server and
 * route. Evidence of several hosts can be added.
 */
final class RolloutEvidence {
    private static final double MIN_SLOWNESS = 0.05;
    private static final double MAX_SLOWNESS = 20;

    private final Map<Key, Tally> tallies = new HashMap<>();

    /** A server and a route. */
    record Key(ServerId server, RouteId route, boolean isNew) {}

    /** The evidence of one server on one route. */
    static final class Tally {
        private int sent;
        private int answers;
        private int faults;
        private int samples;
        private double logSum;
        private double logSquares;

        int answers() {
            return answers;
        }

        int faults() {
            return faults;
        }

        int samples() {
            return samples;
        }

        /** Returns the sum of the logarithms of slowness. */
        double logSum() {
            return logSum;
        }

        /** Returns the sum of squared deviations of these logarithms from their mean. */
        double squaredDeviations() {
            return samples == 0 ? 0 : Math.max(0, logSquares - logSum * logSum / samples);
        }

        private RolloutTally toTally(Key key) {
            return new RolloutTally(
                    key.server(),
                    key.route(),
                    key.isNew(),
                    sent,
                    answers,
                    faults,
                    samples,
                    logSum,
                    logSquares);
        }

        private void add(RolloutTally reported) {
            sent += reported.sent();
            answers += reported.answers();
            faults += reported.faults();
            samples += reported.samples();
            logSum += reported.logSum();
            logSquares += reported.logSquares();
        }

        private void add(Tally other) {
            sent += other.sent;
            answers += other.answers;
            faults += other.faults;
            samples += other.samples;
            logSum += other.logSum;
            logSquares += other.logSquares;
        }
    }

    private Tally tally(Key key) {
        return tallies.computeIfAbsent(key, unused -> new Tally());
    }

    void recordSent(Key key) {
        tally(key).sent++;
    }

    void recordEnd(Key key, boolean fault) {
        Tally tally = tally(key);
        tally.answers++;
        tally.faults += fault ? 1 : 0;
    }

    /**
     * Records how long an answer took.
     *
     * @param slowness its time relative to the expected time in the pool; positive
     */
    void recordSlowness(Key key, double slowness) {
        double log = Math.log(Math.clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS));
        Tally tally = tally(key);
        tally.samples++;
        tally.logSum += log;
        tally.logSquares += log * log;
    }

    /**
     * Returns the sum of this and other evidence. The result may share state with this evidence and
     * must not be changed.
     */
    RolloutEvidence plus(RolloutEvidence other) {
        if (other.tallies.isEmpty()) {
            return this;
        }
        RolloutEvidence sum = new RolloutEvidence();
        tallies.forEach((key, tally) -> sum.tally(key).add(tally));
        other.tallies.forEach((key, tally) -> sum.tally(key).add(tally));
        return sum;
    }

    /** Returns the evidence added since an earlier copy of this evidence. */
    RolloutEvidence since(RolloutEvidence earlier) {
        RolloutEvidence later = new RolloutEvidence();
        tallies.forEach(
                (key, tally) -> {
                    Tally difference = later.tally(key);
                    difference.add(tally);
                    Tally before = earlier.tallies.getOrDefault(key, new Tally());
                    difference.sent -= before.sent;
                    difference.answers -= before.answers;
                    difference.faults -= before.faults;
                    difference.samples -= before.samples;
                    difference.logSum -= before.logSum;
                    difference.logSquares -= before.logSquares;
                });
        return later;
    }

    RolloutEvidence copy() {
        return new RolloutEvidence().plus(this);
    }

    /**
     * Returns the evidence of each route. The results share state with this evidence and must not
     * be changed.
     */
    Collection<RolloutEvidence> byRoute() {
        Map<RouteId, RolloutEvidence> parts = new HashMap<>();
        tallies.forEach(
                (key, tally) ->
                        parts.computeIfAbsent(key.route(), route -> new RolloutEvidence())
                                .tallies
                                .put(key, tally));
        return parts.values();
    }

    Map<Key, Tally> tallies() {
        return tallies;
    }

    int sent(boolean isNew) {
        return sum(isNew, tally -> tally.sent);
    }

    int answers(boolean isNew) {
        return sum(isNew, tally -> tally.answers);
    }

    int faults(boolean isNew) {
        return sum(isNew, tally -> tally.faults);
    }

    private int sum(boolean isNew, ToIntFunction<Tally> count) {
        return tallies.entrySet().stream()
                .filter(entry -> entry.getKey().isNew() == isNew)
                .mapToInt(entry -> count.applyAsInt(entry.getValue()))
                .sum();
    }

    /** Returns the tallies of all servers and routes, for another host. */
    List<RolloutTally> toTallies() {
        return tallies.entrySet().stream()
                .map(entry -> entry.getValue().toTally(entry.getKey()))
                .toList();
    }

    /** Returns the evidence that another host reported. */
    static RolloutEvidence of(List<RolloutTally> reported) {
        RolloutEvidence evidence = new RolloutEvidence();
        for (RolloutTally tally : reported) {
            Key key = new Key(tally.server(), tally.route(), tally.isNew());
            evidence.tally(key).add(tally);
        }
        return evidence;
    }
}

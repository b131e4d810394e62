package org.orioleshed.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * What the answers of old and new servers showed in a rollout, by server and route. Evidence of
 * several hosts adds up.
 */
final class RolloutEvidence {
    private static final double LEAST_SLOWNESS = 0.05;
    private static final double MOST_SLOWNESS = 20;

    private final Map<Key, Tally> tallies = new HashMap<>();

    /** A server's part in one route. */
    record Key(ServerId server, RouteId route, boolean isNew) {}

    /** What one server's answers on one route showed. */
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

        /** Returns the sum of the squares of these logarithms about their mean. */
        double logDeviations() {
            return samples == 0 ? 0 : Math.max(0, logSquares - logSum * logSum / samples);
        }

        private RolloutTally toTell(Key key) {
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

        private void add(RolloutTally told) {
            sent += told.sent();
            answers += told.answers();
            faults += told.faults();
            samples += told.samples();
            logSum += told.logSum();
            logSquares += told.logSquares();
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

    void sent(Key key) {
        tally(key).sent++;
    }

    void answered(Key key, boolean fault) {
        Tally tally = tally(key);
        tally.answers++;
        tally.faults += fault ? 1 : 0;
    }

    /**
     * Notes how long an answer took.
     *
     * @param slowness its time against what is usual in the pool; positive
     */
    void took(Key key, double slowness) {
        double log = Math.log(Math.clamp(slowness, LEAST_SLOWNESS, MOST_SLOWNESS));
        Tally tally = tally(key);
        tally.samples++;
        tally.logSum += log;
        tally.logSquares += log * log;
    }

    /** Returns this and other evidence together; it must not change any more. */
    RolloutEvidence plus(RolloutEvidence other) {
        if (other.tallies.isEmpty()) {
            return this;
        }
        RolloutEvidence sum = new RolloutEvidence();
        tallies.forEach((key, tally) -> sum.tally(key).add(tally));
        other.tallies.forEach((key, tally) -> sum.tally(key).add(tally));
        return sum;
    }

    /** Returns what came since an earlier state of this evidence. */
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

    /** Returns the evidence of each route; it must not change any more. */
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

    int sent(boolean ofNew) {
        return sum(ofNew, tally -> tally.sent);
    }

    int answers(boolean ofNew) {
        return sum(ofNew, tally -> tally.answers);
    }

    int faults(boolean ofNew) {
        return sum(ofNew, tally -> tally.faults);
    }

    private int sum(boolean ofNew, ToIntFunction<Tally> count) {
        return tallies.entrySet().stream()
                .filter(entry -> entry.getKey().isNew() == ofNew)
                .mapToInt(entry -> count.applyAsInt(entry.getValue()))
                .sum();
    }

    /** Returns all of it, for another host. */
    List<RolloutTally> toTell() {
        return tallies.entrySet().stream()
                .map(entry -> entry.getValue().toTell(entry.getKey()))
                .toList();
    }

    /** Returns the evidence that another host told. */
    static RolloutEvidence of(List<RolloutTally> told) {
        RolloutEvidence evidence = new RolloutEvidence();
        for (RolloutTally one : told) {
            Key key = new Key(one.server(), one.route(), one.isNew());
            evidence.tally(key).add(one);
        }
        return evidence;
    }
}

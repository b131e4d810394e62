package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * How much slower new servers answer than old ones, as the difference of the mean logarithms of
 * slowness, and how sure that is. Servers of one pool differ in speed by themselves, so there are
 * two errors: one that more answers make smaller, and one that only more servers would.
 *
 * @param mean the difference; 0 for none, 0.69 for twice as slow
 * @param samples the new servers' answers that it rests on
 * @param samplingError its standard error from answers that differ
 * @param serverError its standard error from servers that differ, as old ones do
 * @param cautiousServerError the same where few old servers are known
 * @param spreadRatio the variance of the answers of one new server against that of an old one
 */
record SpeedShift(
        double mean,
        int samples,
        double samplingError,
        double serverError,
        double cautiousServerError,
        double spreadRatio) {
    /** Answers of one server that weigh half as much as very many. */
    private static final double HALF_WEIGHT_ANSWERS = 2;

    private static final double USUAL_VARIANCE = 0.25;
    private static final double USUAL_VARIANCE_WEIGHT = 5;
    private static final double USUAL_SERVER_VARIANCE = 0.12;
    private static final double USUAL_SERVERS = 2;

    private record Sum(int samples, double logs) {
        private static final Sum NONE = new Sum(0, 0);

        Sum plus(int more, double moreLogs) {
            return new Sum(samples + more, logs + moreLogs);
        }

        double mean() {
            return logs / samples;
        }

        double weight() {
            return samples / (samples + HALF_WEIGHT_ANSWERS);
        }
    }

    /** The servers of one version. */
    private static final class Group {
        private final Map<ServerId, Sum> servers = new HashMap<>();
        private int samples;
        private int freedoms;
        private double deviations;

        void add(RolloutEvidence.Key key, RolloutEvidence.Tally tally, double usual) {
            double logs = tally.logSum() - tally.samples() * usual;
            servers.merge(
                    key.server(),
                    Sum.NONE.plus(tally.samples(), logs),
                    (a, b) -> a.plus(b.samples(), b.logs()));
            samples += tally.samples();
            freedoms += tally.samples() - 1;
            deviations += tally.logDeviations();
        }

        double weights() {
            return servers.values().stream().mapToDouble(Sum::weight).sum();
        }

        double mean() {
            double sum = servers.values().stream().mapToDouble(s -> s.weight() * s.mean()).sum();
            return sum / weights();
        }

        /** Returns the variance of the mean when each server's own varies by so much. */
        double meanVariance(double ofServer) {
            double sum = 0;
            for (Sum server : servers.values()) {
                sum += server.weight() * server.weight() * ofServer;
            }
            return sum / (weights() * weights());
        }

        double samplingVariance(double ofAnswer) {
            double sum = 0;
            for (Sum server : servers.values()) {
                sum += server.weight() * server.weight() * ofAnswer / server.samples();
            }
            return sum / (weights() * weights());
        }

        double answerVariance() {
            return (deviations + USUAL_VARIANCE_WEIGHT * USUAL_VARIANCE)
                    / (freedoms + USUAL_VARIANCE_WEIGHT);
        }

        /** Returns the sum of squares of servers' means about theirs, less what answers add. */
        double serverDeviations() {
            double mean = mean();
            double sum = 0;
            for (Sum server : servers.values()) {
                double own = server.mean() - mean;
                sum += own * own - answerVariance() / server.samples();
            }
            return Math.max(0, sum);
        }
    }

    /** Compares; the mean is 0 and the errors are infinite where there is nothing to compare. */
    static SpeedShift of(RolloutEvidence evidence) {
        Map<RouteId, Sum> usual = new HashMap<>();
        evidence.tallies()
                .forEach(
                        (key, tally) -> {
                            if (!key.isNew() && tally.samples() > 0) {
                                usual.merge(
                                        key.route(),
                                        Sum.NONE.plus(tally.samples(), tally.logSum()),
                                        (a, b) -> a.plus(b.samples(), b.logs()));
                            }
                        });
        Group older = new Group();
        Group newer = new Group();
        evidence.tallies()
                .forEach(
                        (key, tally) -> {
                            if (tally.samples() > 0 && usual.containsKey(key.route())) {
                                Group group = key.isNew() ? newer : older;
                                group.add(key, tally, usual.get(key.route()).mean());
                            }
                        });
        return newer.samples == 0 ? nothing() : compare(older, newer);
    }

    private static SpeedShift nothing() {
        double unknown = Double.POSITIVE_INFINITY;
        return new SpeedShift(0, 0, unknown, unknown, unknown, 1);
    }

    private static SpeedShift compare(Group older, Group newer) {
        double sampling =
                newer.samplingVariance(newer.answerVariance())
                        + older.samplingVariance(older.answerVariance());
        double deviations = older.serverDeviations();
        int freedoms = older.servers.size() - 1;
        double cautious =
                (deviations + USUAL_SERVERS * USUAL_SERVER_VARIANCE) / (freedoms + USUAL_SERVERS);
        double seen = freedoms == 0 ? cautious : deviations / freedoms;
        return new SpeedShift(
                newer.mean() - older.mean(),
                newer.samples,
                Math.sqrt(sampling),
                Math.sqrt(newer.meanVariance(seen) + older.meanVariance(seen)),
                Math.sqrt(newer.meanVariance(cautious) + older.meanVariance(cautious)),
                newer.answerVariance() / older.answerVariance());
    }
}

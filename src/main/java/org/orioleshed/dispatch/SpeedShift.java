package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * An estimate of how much slower servers of the new version answer than others, as the difference
 * of the mean logarithms of slowness, with its standard errors. Servers of one pool differ in speed
 * whatever their version, so there are two errors: one that shrinks with more answers, and one that
 * shrinks only with more servers.
 *
 * @param mean the difference; 0 for equal speed, 0.69 for twice as slow
 * @param samples the number of answers of new servers in the estimate
 * @param samplingError the standard error due to the variance of answers
 * @param serverError the standard error due to the variance of servers, as observed on old servers
 * @param conservativeServerError the same with a prior, for few old servers
 * @param varianceRatio the variance of the answers of a new server relative to that of an old one
 */
record SpeedShift(
        double mean,
        int samples,
        double samplingError,
        double serverError,
        double conservativeServerError,
        double varianceRatio) {
    /**
     * The number of answers at which a server has half the weight of one with very many answers.
     */
    private static final double HALF_WEIGHT_ANSWERS = 2;

    private static final double PRIOR_ANSWER_VARIANCE = 0.25;
    private static final double PRIOR_ANSWER_WEIGHT = 5;
    private static final double PRIOR_SERVER_VARIANCE = 0.12;
    private static final double PRIOR_SERVERS = 2;

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

    /** The servers of the new version, or the others. */
    private static final class Group {
        private final Map<ServerId, Sum> servers = new HashMap<>();
        private int samples;
        private int degreesOfFreedom;
        private double squaredDeviations;

        void add(RolloutEvidence.Key key, RolloutEvidence.Tally tally, double baseline) {
            double logs = tally.logSum() - tally.samples() * baseline;
            servers.merge(
                    key.server(),
                    Sum.NONE.plus(tally.samples(), logs),
                    (a, b) -> a.plus(b.samples(), b.logs()));
            samples += tally.samples();
            degreesOfFreedom += tally.samples() - 1;
            squaredDeviations += tally.squaredDeviations();
        }

        double weights() {
            return servers.values().stream().mapToDouble(Sum::weight).sum();
        }

        double mean() {
            double sum = servers.values().stream().mapToDouble(s -> s.weight() * s.mean()).sum();
            return sum / weights();
        }

        /** Returns the variance of the mean for a given variance of servers. */
        double meanVariance(double serverVariance) {
            double sum = 0;
            for (Sum server : servers.values()) {
                sum += server.weight() * server.weight() * serverVariance;
            }
            return sum / (weights() * weights());
        }

        double samplingVariance(double answerVariance) {
            double sum = 0;
            for (Sum server : servers.values()) {
                sum += server.weight() * server.weight() * answerVariance / server.samples();
            }
            return sum / (weights() * weights());
        }

        double answerVariance() {
            return (squaredDeviations + PRIOR_ANSWER_WEIGHT * PRIOR_ANSWER_VARIANCE)
                    / (degreesOfFreedom + PRIOR_ANSWER_WEIGHT);
        }

        /**
         * Returns the squared deviations of the servers' means from the group's mean, without the
         * part due to the variance of answers.
         */
        double serverSquaredDeviations() {
            double mean = mean();
            double sum = 0;
            for (Sum server : servers.values()) {
                double deviation = server.mean() - mean;
                sum += deviation * deviation - answerVariance() / server.samples();
            }
            return Math.max(0, sum);
        }
    }

    /**
     * Compares the two groups; without anything to compare, the mean is 0 and the errors are
     * infinite.
     */
    static SpeedShift of(RolloutEvidence evidence) {
        Map<RouteId, Sum> baseline = new HashMap<>();
        evidence.tallies()
                .forEach(
                        (key, tally) -> {
                            if (!key.isNew() && tally.samples() > 0) {
                                baseline.merge(
                                        key.route(),
                                        Sum.NONE.plus(tally.samples(), tally.logSum()),
                                        (a, b) -> a.plus(b.samples(), b.logs()));
                            }
                        });
        Group oldServers = new Group();
        Group newServers = new Group();
        evidence.tallies()
                .forEach(
                        (key, tally) -> {
                            if (tally.samples() > 0 && baseline.containsKey(key.route())) {
                                Group group = key.isNew() ? newServers : oldServers;
                                group.add(key, tally, baseline.get(key.route()).mean());
                            }
                        });
        return newServers.samples == 0 ? noComparison() : compare(oldServers, newServers);
    }

    private static SpeedShift noComparison() {
        double unknown = Double.POSITIVE_INFINITY;
        return new SpeedShift(0, 0, unknown, unknown, unknown, 1);
    }

    private static SpeedShift compare(Group oldServers, Group newServers) {
        double samplingVariance =
                newServers.samplingVariance(newServers.answerVariance())
                        + oldServers.samplingVariance(oldServers.answerVariance());
        double squaredDeviations = oldServers.serverSquaredDeviations();
        int degreesOfFreedom = oldServers.servers.size() - 1;
        double conservativeVariance =
                (squaredDeviations + PRIOR_SERVERS * PRIOR_SERVER_VARIANCE)
                        / (degreesOfFreedom + PRIOR_SERVERS);
        double serverVariance =
                degreesOfFreedom == 0 ? conservativeVariance : squaredDeviations / degreesOfFreedom;
        return new SpeedShift(
                newServers.mean() - oldServers.mean(),
                newServers.samples,
                Math.sqrt(samplingVariance),
                Math.sqrt(
                        newServers.meanVariance(serverVariance)
                                + oldServers.meanVariance(serverVariance)),
                Math.sqrt(
                        newServers.meanVariance(conservativeVariance)
                                + oldServers.meanVariance(conservativeVariance)),
                newServers.answerVariance() / oldServers.answerVariance());
    }
}

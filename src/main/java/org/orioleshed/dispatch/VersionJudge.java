package org.orioleshed.dispatch;

/**
 * Judges a new version by the evidence of a rollout. The evidence is tested repeatedly while it
 * accumulates, so the thresholds are higher than those of a single test. Detects versions that fail
 * or slow down a part of their requests, on all routes or on one, on servers that differ
 * severalfold in speed.
 */
final class VersionJudge {
    /**
     * The evidence against a version, in nats, above which it is found worse; a single test of an
     * equal version very rarely exceeds it.
     */
    private static final double WORSE_NATS = Math.log(100_000);

    /**
     * The evidence for a version, in nats, above which it is found no worse; a worse version very
     * rarely exceeds it.
     */
    private static final double NO_WORSE_NATS = Math.log(300);

    /** The evidence against a version, in nats, that fails a subset of the evidence. */
    private static final double SUBSET_NATS = Math.log(3_000);

    private static final double NO_SLOWER_ERRORS = 3.5;
    private static final double SLOWER_ERRORS = 4.2;

    /** The tolerated slowdown, as a logarithm. */
    private static final double TOLERATED_SHIFT = Math.log(1.4);

    /** The slowdown that must be detected, as a logarithm: twice as slow. */
    private static final double HARMFUL_SHIFT = Math.log(2);

    /** The slowdown that fails a subset of the evidence; lower than for all of it. */
    private static final double HARMFUL_SUBSET_SHIFT = Math.log(1.7);

    private static final double HARMFUL_FAULT_RATE = 0.1;
    private static final double FAULT_ERRORS = 11;

    private static final double ROUTE_ERRORS = 1.3;
    private static final double ALLOWED_SERVER_ERRORS = 0.7;
    private static final double ALLOWED_SERVER_ERRORS_IN_SUBSET = 1.25;
    private static final double UNUSUAL_VARIANCE_RATIO = 2;

    private static final int MIN_FAULTS = 3;
    private static final int MIN_SAMPLES = 10;
    private static final int MIN_PROOF_SAMPLES = 20;
    private static final int MIN_SUBSET_SAMPLES = 10;

    private VersionJudge() {}

    /** Returns whether the new version is worse, on all routes or on one. */
    static boolean isWorse(RolloutEvidence evidence) {
        return isWorseOverall(evidence)
                || evidence.byRoute().stream().anyMatch(VersionJudge::isWorseOverall);
    }

    private static boolean isWorseOverall(RolloutEvidence evidence) {
        return failsMore(evidence) || isSlower(SpeedShift.of(evidence));
    }

    private static boolean failsMore(RolloutEvidence evidence) {
        int answers = evidence.answers(true);
        int faults = evidence.faults(true);
        if (faults < MIN_FAULTS) {
            return false;
        }
        double baselineRate = baselineFaultRate(evidence);
        double observed = (double) faults / answers;
        return observed > baselineRate && answers * divergence(observed, baselineRate) > WORSE_NATS;
    }

    private static boolean isSlower(SpeedShift shift) {
        double error = Math.hypot(shift.samplingError(), shift.conservativeServerError());
        return shift.samples() >= MIN_SAMPLES
                && shift.mean() > TOLERATED_SHIFT + SLOWER_ERRORS * error;
    }

    /** Returns whether the new version is shown to be no worse. */
    static boolean isNoWorse(RolloutEvidence evidence) {
        return failsNoMore(evidence)
                && isNoSlower(SpeedShift.of(evidence))
                && evidence.byRoute().stream().allMatch(route -> isSound(route, ROUTE_ERRORS));
    }

    private static boolean failsNoMore(RolloutEvidence evidence) {
        int answers = evidence.answers(true);
        if (answers == 0) {
            return false;
        }
        double baselineRate = baselineFaultRate(evidence);
        double error = Math.sqrt(baselineRate * (1 - baselineRate) / answers);
        double harmfulRate =
                Math.min(0.99, baselineRate + Math.max(HARMFUL_FAULT_RATE, FAULT_ERRORS * error));
        double observed = (double) evidence.faults(true) / answers;
        return observed < harmfulRate
                && answers * divergence(observed, harmfulRate) > NO_WORSE_NATS;
    }

    private static boolean isNoSlower(SpeedShift shift) {
        return shift.samples() >= MIN_PROOF_SAMPLES
                && shift.mean() + NO_SLOWER_ERRORS * shift.samplingError()
                        < HARMFUL_SHIFT + ALLOWED_SERVER_ERRORS * allowance(shift);
    }

    /** Returns whether nothing in the evidence since some moment counts against the new version. */
    static boolean isSoundInSubset(RolloutEvidence subset) {
        return isSound(subset, 1);
    }

    /**
     * Returns whether nothing in a subset of the evidence counts against the new version.
     *
     * @param errors the number of standard sampling errors that count against it
     */
    private static boolean isSound(RolloutEvidence subset, double errors) {
        SpeedShift shift = SpeedShift.of(subset);
        boolean slow =
                shift.samples() >= MIN_SUBSET_SAMPLES
                        && shift.mean() + errors * shift.samplingError()
                                > HARMFUL_SUBSET_SHIFT
                                        + ALLOWED_SERVER_ERRORS_IN_SUBSET * allowance(shift);
        return !slow && !likelyFailsMore(subset);
    }

    /**
     * Returns the shift that slow servers may add by chance. A version that slows only some
     * requests raises the variance of the answers of each server; such a version gets no allowance.
     */
    private static double allowance(SpeedShift shift) {
        return shift.varianceRatio() > UNUSUAL_VARIANCE_RATIO ? 0 : shift.serverError();
    }

    private static boolean likelyFailsMore(RolloutEvidence subset) {
        int answers = subset.answers(true);
        if (answers < MIN_SUBSET_SAMPLES) {
            return false;
        }
        double baselineRate = baselineFaultRate(subset);
        double observed = (double) subset.faults(true) / answers;
        return observed > baselineRate + HARMFUL_FAULT_RATE
                && answers * divergence(observed, baselineRate) > SUBSET_NATS;
    }

    /** Returns the fraction of requests that old servers fail, smoothed so that it is never 0. */
    private static double baselineFaultRate(RolloutEvidence evidence) {
        return (evidence.faults(false) + 1.0) / (evidence.answers(false) + 2.0);
    }

    /**
     * Returns the Kullback-Leibler divergence of a failure rate {@code observed} from {@code
     * assumed}, in nats per answer.
     */
    private static double divergence(double observed, double assumed) {
        return term(observed, assumed) + term(1 - observed, 1 - assumed);
    }

    private static double term(double observed, double assumed) {
        return observed == 0 ? 0 : observed * Math.log(observed / assumed);
    }
}

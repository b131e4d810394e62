package org.orioleshed.dispatch;

/**
 * Judges a new version by the evidence of a rollout. It is looked at many times while evidence
 * comes, so a finding needs more than a single look would. Answers the load patterns of a version
 * that fails or slows a part of its requests, on all routes or on one, before servers that differ
 * severalfold in speed.
 */
final class VersionJudge {
    /** Evidence, in nats, that an unjust finding at one look hardly ever has. */
    private static final double SURE_NATS = Math.log(100_000);

    /** Evidence, in nats, that a worse version hardly ever has for being no worse. */
    private static final double PROVED_NATS = Math.log(300);

    /** Evidence, in nats, against a version that is not proved yet. */
    private static final double DOUBT_NATS = Math.log(3_000);

    private static final double PROVED_ERRORS = 3.5;
    private static final double SURE_ERRORS = 4.2;

    /** Slower by this much is no fault of a version. */
    private static final double HARMLESS_SHIFT = Math.log(1.4);

    /** A version is to be found that is twice as slow. */
    private static final double HARMFUL_SHIFT = Math.log(2);

    /** In a small part of the evidence a little less speaks against it. */
    private static final double HARMFUL_PART_SHIFT = Math.log(1.7);

    private static final double HARMFUL_FAULTS = 0.1;
    private static final double FAULT_ERRORS = 11;

    private static final double ROUTE_ERRORS = 1.3;
    private static final double ALLOWED_SERVER_ERRORS = 0.7;
    private static final double ALLOWED_SERVER_ERRORS_IN_PART = 1.25;
    private static final double UNUSUAL_SPREAD = 2;

    private static final int LEAST_FAULTS = 3;
    private static final int LEAST_SAMPLES = 10;
    private static final int PROVING_SAMPLES = 20;
    private static final int PART_SAMPLES = 10;

    private VersionJudge() {}

    /** Returns whether the new version is worse, on all routes or on one. */
    static boolean isWorse(RolloutEvidence evidence) {
        return isWorseAsAWhole(evidence)
                || evidence.byRoute().stream().anyMatch(VersionJudge::isWorseAsAWhole);
    }

    private static boolean isWorseAsAWhole(RolloutEvidence evidence) {
        return failsMore(evidence) || isSlower(SpeedShift.of(evidence));
    }

    private static boolean failsMore(RolloutEvidence evidence) {
        int answers = evidence.answers(true);
        int faults = evidence.faults(true);
        if (faults < LEAST_FAULTS) {
            return false;
        }
        double usual = usualFaults(evidence);
        double seen = (double) faults / answers;
        return seen > usual && answers * divergence(seen, usual) > SURE_NATS;
    }

    private static boolean isSlower(SpeedShift shift) {
        double error = Math.hypot(shift.samplingError(), shift.cautiousServerError());
        return shift.samples() >= LEAST_SAMPLES
                && shift.mean() > HARMLESS_SHIFT + SURE_ERRORS * error;
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
        double usual = usualFaults(evidence);
        double error = Math.sqrt(usual * (1 - usual) / answers);
        double harmful = Math.min(0.99, usual + Math.max(HARMFUL_FAULTS, FAULT_ERRORS * error));
        double seen = (double) evidence.faults(true) / answers;
        return seen < harmful && answers * divergence(seen, harmful) > PROVED_NATS;
    }

    private static boolean isNoSlower(SpeedShift shift) {
        return shift.samples() >= PROVING_SAMPLES
                && shift.mean() + PROVED_ERRORS * shift.samplingError()
                        < HARMFUL_SHIFT + ALLOWED_SERVER_ERRORS * allowance(shift);
    }

    /** Returns whether nothing in what came since a moment speaks against the new version. */
    static boolean isSoundLately(RolloutEvidence lately) {
        return isSound(lately, 1);
    }

    /**
     * Returns whether nothing in a small part of the evidence speaks against the new version.
     *
     * @param errors how many standard errors of answers that differ count against it
     */
    private static boolean isSound(RolloutEvidence part, double errors) {
        SpeedShift shift = SpeedShift.of(part);
        boolean slow =
                shift.samples() >= PART_SAMPLES
                        && shift.mean() + errors * shift.samplingError()
                                > HARMFUL_PART_SHIFT
                                        + ALLOWED_SERVER_ERRORS_IN_PART * allowance(shift);
        return !slow && !seemsToFailMore(part);
    }

    /**
     * Returns what servers that happen to be slow may add. A version that slows some requests and
     * not others shows in answers of one server that differ more than usual; that gets no
     * allowance.
     */
    private static double allowance(SpeedShift shift) {
        return shift.spreadRatio() > UNUSUAL_SPREAD ? 0 : shift.serverError();
    }

    private static boolean seemsToFailMore(RolloutEvidence part) {
        int answers = part.answers(true);
        if (answers < PART_SAMPLES) {
            return false;
        }
        double usual = usualFaults(part);
        double seen = (double) part.faults(true) / answers;
        return seen > usual + HARMFUL_FAULTS && answers * divergence(seen, usual) > DOUBT_NATS;
    }

    /** Returns the part of requests that old servers fail; never quite none. */
    private static double usualFaults(RolloutEvidence evidence) {
        return (evidence.faults(false) + 1.0) / (evidence.answers(false) + 2.0);
    }

    /** Returns how much an answer tells a part {@code seen} of failures from {@code assumed}. */
    private static double divergence(double seen, double assumed) {
        return term(seen, assumed) + term(1 - seen, 1 - assumed);
    }

    private static double term(double seen, double assumed) {
        return seen == 0 ? 0 : seen * Math.log(seen / assumed);
    }
}

package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;

/**
 * Decides which requests of a pool go to a new version, and when its rollout is completed or rolled
 * back. The new version gets a small share until its answers are shown to be no worse than those of
 * the old version over the same time. Its share then rises in steps, each of which is checked. If
 * that isn't finished by the deadline, the rollout is rolled back.
 */
final class VersionRollout {
    /**
     * The fraction of the allowed exposure that is used; the rest is kept for a second primary
     * across a network partition.
     */
    private static final double EXPOSURE_FRACTION = 0.75;

    /** The fraction of the duration for which evidence is collected before the first step. */
    private static final double PROVING_FRACTION = 0.6;

    /** The fraction of the duration in which new servers may be slow until they are warm. */
    private static final double WARMUP_FRACTION = 0.2;

    /** The fraction of the allowed exposure that is used during warmup. */
    private static final double WARMUP_EXPOSURE_FRACTION = 0.5;

    /** The successive traffic shares of the new version after it is proved. */
    private static final double[] STEP_SHARES = {0.25, 0.5, 1};

    /** The longest duration of a step without adverse evidence, as a fraction of the duration. */
    private static final double MAX_STEP_FRACTION = 0.06;

    /** The number of answers that ends a step earlier. */
    private static final int STEP_ANSWERS = 25;

    /**
     * The window of recent evidence as a fraction of the duration. It is judged separately too,
     * since a version may turn bad after a while.
     */
    private static final double RECENT_FRACTION = 0.2;

    /** The outcome is decided this long before the deadline, to leave time to record it. */
    private static final long RECORD_MARGIN_MILLIS = 1_000;

    /** The interval at which the evidence is judged. */
    private static final long JUDGE_PERIOD_NANOS = 100_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RolloutOrder order;
    private final RolloutPolicy policy;
    private final long observedNanos;
    private final RolloutEvidence observed = new RolloutEvidence();
    private final Map<HostId, RolloutEvidence> reported = new HashMap<>();
    private final SendCounts sends = new SendCounts();
    private SendCounts stepSends = new SendCounts();
    private RolloutEvidence pending = new RolloutEvidence();
    private RolloutEvidence recentBaseline = new RolloutEvidence();
    private long recentStartNanos;
    private long judgedNanos = Long.MIN_VALUE / 2;
    private RolloutOutcome outcome = RolloutOutcome.RUNNING;
    private boolean settled;
    private boolean warm;
    private int step = -1;
    private long stepStartNanos;
    private RolloutEvidence stepBaseline = new RolloutEvidence();
    private int stepBaselineAnswers;

    /** Counts the requests sent to the new version and to all. */
    private static final class SendCounts {
        private int toNew;
        private int all;

        void add(boolean isNew) {
            toNew += isNew ? 1 : 0;
            all++;
        }
    }

    /**
     * Creates a rollout.
     *
     * @param observedNanos when the order was observed, on the monotonic clock
     */
    VersionRollout(RolloutOrder order, RolloutPolicy policy, long observedNanos) {
        this.order = order;
        this.policy = policy;
        this.observedNanos = observedNanos;
        this.recentStartNanos = observedNanos;
    }

    RolloutOrder order() {
        return order;
    }

    /** Returns the traffic step that the new version has reached; -1 until it is proved. */
    int step() {
        return step;
    }

    RolloutOutcome outcome() {
        return outcome;
    }

    /** Adopts an outcome that is recorded already. */
    void settle(RolloutOutcome recorded) {
        if (recorded != RolloutOutcome.RUNNING) {
            outcome = recorded;
            settled = true;
        }
    }

    /** Returns whether an outcome is recorded. */
    boolean isSettled() {
        return settled;
    }

    boolean isTarget(VersionId version) {
        return version.equals(order.target());
    }

    /** Returns whether the next request is to go to the new version. */
    boolean nextIsNew() {
        return switch (outcome) {
            case COMPLETED -> true;
            case TAKEN_BACK -> false;
            case RUNNING -> step < 0 ? isExposureAllowed() : isDueInStep();
        };
    }

    /**
     * Returns whether a request may go to the other version if the preferred one has no free slot.
     */
    boolean mayUseOther(boolean preferNew) {
        return preferNew && outcome == RolloutOutcome.RUNNING && step < STEP_SHARES.length - 1;
    }

    private boolean isExposureAllowed() {
        int toNew = sends.toNew;
        int total = sends.all;
        for (RolloutEvidence earlier : reported.values()) {
            toNew += earlier.sent(true);
            total += earlier.sent(true) + earlier.sent(false);
        }
        double exposure = warm ? EXPOSURE_FRACTION : EXPOSURE_FRACTION * WARMUP_EXPOSURE_FRACTION;
        return toNew + 1 <= exposure * (policy.share() * (total + 1) + policy.slack());
    }

    private boolean isDueInStep() {
        return stepSends.toNew + 1 <= STEP_SHARES[step] * (stepSends.all + 1);
    }

    private RolloutEvidence.Key key(PoolServer server, RouteId route) {
        return new RolloutEvidence.Key(server.id(), route, isTarget(server.version()));
    }

    void recordSent(PoolServer server, RouteId route) {
        RolloutEvidence.Key key = key(server, route);
        observed.recordSent(key);
        sends.add(key.isNew());
        stepSends.add(key.isNew());
    }

    /**
     * Records how long an answer took. Ignored during warmup: times of cold servers indicate
     * nothing about their version, and times of old servers are skipped for the same period to keep
     * the comparison fair.
     *
     * @param slowness its time relative to the expected time in the pool; positive
     */
    void recordSlowness(PoolServer server, RouteId route, double slowness) {
        if (warm) {
            observed.recordSlowness(key(server, route), slowness);
        }
    }

    /** Records how a run ended. */
    void recordEnd(PoolServer server, RouteId route, RunReport.Outcome runOutcome) {
        if (runOutcome != RunReport.Outcome.CANCELLED && runOutcome != RunReport.Outcome.REJECTED) {
            observed.recordEnd(key(server, route), runOutcome.isFault());
        }
    }

    /** Clears the runs recorded by {@link #recordPending}. */
    void clearPending() {
        pending = new RolloutEvidence();
    }

    /**
     * Records a run that already took longer than expected without an answer. Without these, slow
     * answers would be missing from the evidence until they end.
     *
     * @param slowness its time so far relative to the expected time in the pool; positive
     */
    void recordPending(PoolServer server, RouteId route, double slowness) {
        if (warm) {
            pending.recordSlowness(key(server, route), slowness);
        }
    }

    /** Returns the evidence that this scheduler observed itself, for the next primary. */
    List<RolloutTally> tallies() {
        return observed.toTallies();
    }

    /**
     * Records evidence that a host observed before this primary started; a repeated report of a
     * host replaces its earlier one.
     */
    void applyReport(HostId host, List<RolloutTally> tallies) {
        reported.put(host, RolloutEvidence.of(tallies));
    }

    private RolloutEvidence all() {
        RolloutEvidence all = observed;
        for (RolloutEvidence earlier : reported.values()) {
            all = all.plus(earlier);
        }
        return all;
    }

    /**
     * Judges the evidence and updates the step and the outcome.
     *
     * @param oldRuns the number of runs on servers of the old version
     * @param hasNewServers whether any server of the new version accepts requests
     */
    void decide(long nowNanos, int oldRuns, boolean hasNewServers) {
        if (outcome != RolloutOutcome.RUNNING || nowNanos - judgedNanos < JUDGE_PERIOD_NANOS) {
            return;
        }
        judgedNanos = nowNanos;
        warm |= elapsedMillis(nowNanos) >= WARMUP_FRACTION * order.durationMillis();
        if (isWorse(nowNanos) || isStepFailing(nowNanos)) {
            outcome = RolloutOutcome.TAKEN_BACK;
            return;
        }
        advance(nowNanos, hasNewServers);
        boolean fullTraffic = step == STEP_SHARES.length - 1;
        boolean timeOver = elapsedMillis(nowNanos) >= order.durationMillis() - RECORD_MARGIN_MILLIS;
        if (fullTraffic && (oldRuns == 0 || timeOver)) {
            outcome = RolloutOutcome.COMPLETED;
        } else if (timeOver) {
            outcome = RolloutOutcome.TAKEN_BACK;
        }
    }

    private long elapsedMillis(long nowNanos) {
        return (nowNanos - observedNanos) / NANOS_PER_MILLI;
    }

    private boolean isWorse(long nowNanos) {
        RolloutEvidence all = all().plus(pending);
        boolean worse = VersionJudge.isWorse(all) || VersionJudge.isWorse(recent());
        if (nowNanos - recentStartNanos
                > RECENT_FRACTION * order.durationMillis() * NANOS_PER_MILLI) {
            recentStartNanos = nowNanos;
            recentBaseline = observed.copy();
        }
        return worse;
    }

    private RolloutEvidence recent() {
        return observed.since(recentBaseline).plus(pending);
    }

    private void advance(long nowNanos, boolean hasNewServers) {
        if (step < 0) {
            boolean collected =
                    elapsedMillis(nowNanos) >= PROVING_FRACTION * order.durationMillis();
            if (collected && hasNewServers && mayJudge() && isProved()) {
                enterStep(0, nowNanos);
            }
            return;
        }
        if (step < STEP_SHARES.length - 1 && isStepOver(nowNanos)) {
            enterStep(step + 1, nowNanos);
        }
    }

    /** A host that may send nothing to the new version has too little evidence to judge it. */
    private boolean mayJudge() {
        return policy.share() > 0 || policy.slack() > 0;
    }

    private boolean isProved() {
        return VersionJudge.isNoWorse(all().plus(pending));
    }

    /**
     * Returns whether the evidence of the current step, once it is over, counts against the new
     * version.
     */
    private boolean isStepFailing(long nowNanos) {
        return step >= 0
                && isStepOver(nowNanos)
                && !VersionJudge.isSoundInSubset(observed.since(stepBaseline).plus(pending));
    }

    private boolean isStepOver(long nowNanos) {
        long millis = (nowNanos - stepStartNanos) / NANOS_PER_MILLI;
        return millis >= MAX_STEP_FRACTION * order.durationMillis()
                || observed.answers(true) - stepBaselineAnswers >= STEP_ANSWERS;
    }

    private void enterStep(int next, long nowNanos) {
        step = next;
        stepStartNanos = nowNanos;
        stepBaseline = observed.copy();
        stepBaselineAnswers = observed.answers(true);
        stepSends = new SendCounts();
    }

    /** Formats the evidence for the log. */
    String evidence() {
        RolloutEvidence all = all();
        SpeedShift shift = SpeedShift.of(all);
        return "step=%d new_sent=%d new_answers=%d new_faults=%d old_sent=%d old_answers=%d"
                        .formatted(
                                step,
                                all.sent(true),
                                all.answers(true),
                                all.faults(true),
                                all.sent(false),
                                all.answers(false))
                + " old_faults=%d slower=%.2f samples=%d sampling_error=%.2f server_error=%.2f"
                        .formatted(
                                all.faults(false),
                                Math.exp(shift.mean()),
                                shift.samples(),
                                shift.samplingError(),
                                shift.serverError());
    }
}

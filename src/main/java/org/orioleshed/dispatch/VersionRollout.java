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
 * Decides how many of a pool's requests a new version gets, and when its rollout is completed or
 * taken back. The new version earns its share by answers that are shown to be no worse than those
 * of the old one over the same time, then gets more by steps, each of which must hold; without that
 * by the deadline, the rollout is taken back.
 */
final class VersionRollout {
    /** A part of what a bad version may cost is kept for a second primary beyond a cut. */
    private static final double SAFETY = 0.75;

    /** The new version shows itself for this part of the time before it gets more. */
    private static final double PROVING_PART = 0.6;

    /** New servers may be slow for this part of the time, until they are warm. */
    private static final double COLD_PART = 0.2;

    /** Meanwhile the new version gets this part of what it may get. */
    private static final double COLD_SHARE = 0.5;

    /** The parts of all requests that it gets once it is proved, one after the other. */
    private static final double[] STEPS = {0.25, 0.5, 1};

    /** A step that shows nothing bad lasts no longer than this part of the time. */
    private static final double STEP_PART = 0.06;

    /** A step ends sooner with this many answers. */
    private static final int STEP_ANSWERS = 25;

    /** What came lately is judged by itself, too: a version may turn bad after a while. */
    private static final double LATELY_PART = 0.2;

    /** The outcome is decided this long before the deadline, since it has to be written. */
    private static final long WRITE_MILLIS = 1_000;

    /** What came since is judged at this interval. */
    private static final long JUDGE_NANOS = 100_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RolloutOrder order;
    private final RolloutPolicy policy;
    private final long seenNanos;
    private final RolloutEvidence seen = new RolloutEvidence();
    private final Map<HostId, RolloutEvidence> reported = new HashMap<>();
    private final Sends sends = new Sends();
    private Sends ofStep = new Sends();
    private RolloutEvidence waiting = new RolloutEvidence();
    private RolloutEvidence before = new RolloutEvidence();
    private long latelyNanos;
    private long judgedNanos = Long.MIN_VALUE / 2;
    private RolloutOutcome outcome = RolloutOutcome.RUNNING;
    private boolean settled;
    private boolean warm;
    private int step = -1;
    private long stepNanos;
    private RolloutEvidence stepStart = new RolloutEvidence();
    private int stepStartAnswers;

    /** How many requests went to servers of which version. */
    private static final class Sends {
        private int ofNew;
        private int all;

        void add(boolean isNew) {
            ofNew += isNew ? 1 : 0;
            all++;
        }
    }

    /**
     * Begins a rollout.
     *
     * @param seenNanos when the order was seen, on the monotonic clock
     */
    VersionRollout(RolloutOrder order, RolloutPolicy policy, long seenNanos) {
        this.order = order;
        this.policy = policy;
        this.seenNanos = seenNanos;
        this.latelyNanos = seenNanos;
    }

    RolloutOrder order() {
        return order;
    }

    /** Returns which step of its share the new version has reached; -1 until it is proved. */
    int step() {
        return step;
    }

    RolloutOutcome outcome() {
        return outcome;
    }

    /** Takes an outcome that is recorded already. */
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
            case RUNNING -> step < 0 ? mayProve() : isDueInStep();
        };
    }

    /** Returns whether a request may go to the other version where its own has no place. */
    boolean mayUseOther(boolean wantsNew) {
        return wantsNew && outcome == RolloutOutcome.RUNNING && step < STEPS.length - 1;
    }

    private boolean mayProve() {
        int ofNew = sends.ofNew;
        int total = sends.all;
        for (RolloutEvidence earlier : reported.values()) {
            ofNew += earlier.sent(true);
            total += earlier.sent(true) + earlier.sent(false);
        }
        double part = warm ? SAFETY : SAFETY * COLD_SHARE;
        return ofNew + 1 <= part * (policy.share() * (total + 1) + policy.slack());
    }

    private boolean isDueInStep() {
        return ofStep.ofNew + 1 <= STEPS[step] * (ofStep.all + 1);
    }

    private RolloutEvidence.Key key(PoolServer server, RouteId route) {
        return new RolloutEvidence.Key(server.id(), route, isTarget(server.version()));
    }

    void sent(PoolServer server, RouteId route) {
        RolloutEvidence.Key key = key(server, route);
        seen.sent(key);
        sends.add(key.isNew());
        ofStep.add(key.isNew());
    }

    /**
     * Notes how long an answer took. Those of cold servers say nothing of their version, and to
     * compare like with like nor do those of old ones at that time.
     *
     * @param slowness its time against what is usual in the pool; positive
     */
    void took(PoolServer server, RouteId route, double slowness) {
        if (warm) {
            seen.took(key(server, route), slowness);
        }
    }

    /** Notes how a run ended. */
    void ended(PoolServer server, RouteId route, RunReport.Outcome how) {
        if (how != RunReport.Outcome.CANCELLED && how != RunReport.Outcome.REJECTED) {
            seen.answered(key(server, route), how.isFault());
        }
    }

    /** Forgets who waits; {@link #waits} tells anew. */
    void nobodyWaits() {
        waiting = new RolloutEvidence();
    }

    /**
     * A request waits for its answer longer than usual. Without such ones the slow answers would be
     * missing for as long as they are slow.
     *
     * @param slowness its time so far against what is usual in the pool; positive
     */
    void waits(PoolServer server, RouteId route, double slowness) {
        if (warm) {
            waiting.took(key(server, route), slowness);
        }
    }

    /** Returns what this scheduler saw itself, for the next primary. */
    List<RolloutTally> toTell() {
        return seen.toTell();
    }

    /** Takes what a host saw before this primary began; what it tells again takes its place. */
    void applyReport(HostId host, List<RolloutTally> told) {
        reported.put(host, RolloutEvidence.of(told));
    }

    private RolloutEvidence all() {
        RolloutEvidence all = seen;
        for (RolloutEvidence earlier : reported.values()) {
            all = all.plus(earlier);
        }
        return all;
    }

    /**
     * Decides.
     *
     * @param oldRuns the runs at servers of the old version
     * @param newServers whether any server of the new version takes calls
     */
    void decide(long nowNanos, int oldRuns, boolean newServers) {
        if (outcome != RolloutOutcome.RUNNING || nowNanos - judgedNanos < JUDGE_NANOS) {
            return;
        }
        judgedNanos = nowNanos;
        warm |= elapsedMillis(nowNanos) >= COLD_PART * order.durationMillis();
        if (isWorse(nowNanos) || isUnsoundStep(nowNanos)) {
            outcome = RolloutOutcome.TAKEN_BACK;
            return;
        }
        advance(nowNanos, newServers);
        boolean all = step == STEPS.length - 1;
        boolean over = elapsedMillis(nowNanos) >= order.durationMillis() - WRITE_MILLIS;
        if (all && (oldRuns == 0 || over)) {
            outcome = RolloutOutcome.COMPLETED;
        } else if (over) {
            outcome = RolloutOutcome.TAKEN_BACK;
        }
    }

    private long elapsedMillis(long nowNanos) {
        return (nowNanos - seenNanos) / NANOS_PER_MILLI;
    }

    private boolean isWorse(long nowNanos) {
        RolloutEvidence all = all().plus(waiting);
        boolean worse = VersionJudge.isWorse(all) || VersionJudge.isWorse(lately());
        if (nowNanos - latelyNanos > LATELY_PART * order.durationMillis() * NANOS_PER_MILLI) {
            latelyNanos = nowNanos;
            before = seen.copy();
        }
        return worse;
    }

    private RolloutEvidence lately() {
        return seen.since(before).plus(waiting);
    }

    private void advance(long nowNanos, boolean newServers) {
        if (step < 0) {
            boolean shown = elapsedMillis(nowNanos) >= PROVING_PART * order.durationMillis();
            if (shown && newServers && mayDecide() && isProved()) {
                enter(0, nowNanos);
            }
            return;
        }
        if (step < STEPS.length - 1 && isStepOver(nowNanos)) {
            enter(step + 1, nowNanos);
        }
    }

    /** A host that may use nothing of the new version sees too little of it to judge. */
    private boolean mayDecide() {
        return policy.share() > 0 || policy.slack() > 0;
    }

    private boolean isProved() {
        return VersionJudge.isNoWorse(all().plus(waiting));
    }

    /** What came since a step began must speak for itself before the next one. */
    private boolean isUnsoundStep(long nowNanos) {
        return step >= 0
                && isStepOver(nowNanos)
                && !VersionJudge.isSoundLately(seen.since(stepStart).plus(waiting));
    }

    private boolean isStepOver(long nowNanos) {
        long millis = (nowNanos - stepNanos) / NANOS_PER_MILLI;
        return millis >= STEP_PART * order.durationMillis()
                || seen.answers(true) - stepStartAnswers >= STEP_ANSWERS;
    }

    private void enter(int next, long nowNanos) {
        step = next;
        stepNanos = nowNanos;
        stepStart = seen.copy();
        stepStartAnswers = seen.answers(true);
        ofStep = new Sends();
    }

    /** Returns the evidence, for the log. */
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

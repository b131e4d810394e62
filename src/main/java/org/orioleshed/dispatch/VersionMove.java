package org.orioleshed.dispatch;

import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.model.VersionId;

/**
 * Decides how many of a pool's requests a new version gets, and when its move is completed or taken
 * back. The new version earns its share by answers that are no worse than those of the old one over
 * the same time; without that by the deadline, the move is taken back.
 */
final class VersionMove {
    /** A part of what a bad version may cost is kept for hosts that place by themselves. */
    private static final double SAFETY = 0.6;

    /** The new version shows itself for this part of the time before it gets everything. */
    private static final double PROVING_PART = 0.6;

    /** Fewer answers prove nothing. */
    private static final int LEAST_ANSWERS = 20;

    private static final int LEAST_FAULTS = 3;
    private static final double MORE_FAULTS = 2;
    private static final double FAULT_MARGIN = 0.08;

    /** Servers of one pool differ about fivefold in speed; slower than this is the version. */
    private static final double SLOW_RATIO = 4;

    private static final int LEAST_SLOW = 4;
    private static final double SLOW_MARGIN = 0.25;

    /** The outcome is decided this long before the deadline, since it has to be written. */
    private static final long WRITE_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MoveOrder order;
    private final MovePolicy policy;
    private final long seenNanos;
    private final Tally oldTally = new Tally();
    private final Tally newTally = new Tally();
    private MoveOutcome outcome = MoveOutcome.RUNNING;
    private boolean proved;

    private static final class Tally {
        private int sent;
        private int answers;
        private int faults;
        private int slow;
    }

    /**
     * Begins a move.
     *
     * @param seenNanos when the order was seen, on the monotonic clock
     */
    VersionMove(MoveOrder order, MovePolicy policy, long seenNanos) {
        this.order = order;
        this.policy = policy;
        this.seenNanos = seenNanos;
    }

    MoveOrder order() {
        return order;
    }

    MoveOutcome outcome() {
        return outcome;
    }

    /** Takes an outcome that is recorded already. */
    void settle(MoveOutcome recorded) {
        if (recorded != MoveOutcome.RUNNING) {
            outcome = recorded;
        }
    }

    boolean isTarget(VersionId version) {
        return version.equals(order.target());
    }

    /** Returns whether the next request is to go to the new version. */
    boolean nextIsNew() {
        return switch (outcome) {
            case COMPLETED -> true;
            case TAKEN_BACK -> false;
            case RUNNING -> proved || newTally.sent + 1 <= allowed();
        };
    }

    /** Returns whether a request may go to the other version where its own has no place. */
    boolean mayUseOther(boolean wantsNew) {
        return wantsNew && outcome == MoveOutcome.RUNNING && !proved;
    }

    private double allowed() {
        int total = newTally.sent + oldTally.sent + 1;
        return SAFETY * (policy.share() * total + policy.slack());
    }

    void sent(VersionId version) {
        tally(version).sent++;
    }

    /**
     * Notes how a run ended.
     *
     * @param slowness its time against what is usual in the pool; 0 where there is none
     */
    void ended(VersionId version, RunEnd.Outcome how, double slowness) {
        if (how == RunEnd.Outcome.CANCELLED || how == RunEnd.Outcome.REJECTED) {
            return;
        }
        Tally tally = tally(version);
        tally.answers++;
        if (how.isFault()) {
            tally.faults++;
        }
        if (slowness > SLOW_RATIO) {
            tally.slow++;
        }
    }

    private Tally tally(VersionId version) {
        return isTarget(version) ? newTally : oldTally;
    }

    /**
     * Decides.
     *
     * @param oldRuns the runs at servers of the old version
     * @param newServers whether any server of the new version takes calls
     */
    void decide(long nowNanos, int oldRuns, boolean newServers) {
        if (outcome != MoveOutcome.RUNNING) {
            return;
        }
        if (isBad()) {
            outcome = MoveOutcome.TAKEN_BACK;
            return;
        }
        long elapsedMillis = (nowNanos - seenNanos) / NANOS_PER_MILLI;
        boolean enough = newTally.answers >= LEAST_ANSWERS && newServers;
        proved |= enough && elapsedMillis >= PROVING_PART * order.durationMillis();
        boolean over = elapsedMillis >= order.durationMillis() - WRITE_MILLIS;
        if (proved && (oldRuns == 0 || over)) {
            outcome = MoveOutcome.COMPLETED;
        } else if (over) {
            outcome = MoveOutcome.TAKEN_BACK;
        }
    }

    private boolean isBad() {
        double oldFaults = (oldTally.faults + 1.0) / (oldTally.answers + 2.0);
        double newFaults = part(newTally.faults);
        if (newTally.faults >= LEAST_FAULTS && newFaults > MORE_FAULTS * oldFaults + FAULT_MARGIN) {
            return true;
        }
        double oldSlow = (oldTally.slow + 1.0) / (oldTally.answers + 2.0);
        return newTally.slow >= LEAST_SLOW && part(newTally.slow) > oldSlow + SLOW_MARGIN;
    }

    private double part(int count) {
        return newTally.answers == 0 ? 0 : (double) count / newTally.answers;
    }

    /** Returns the evidence, for the log. */
    String evidence() {
        return "new_sent=%d new_answers=%d new_faults=%d new_slow=%d old_sent=%d old_answers=%d"
                        .formatted(
                                newTally.sent,
                                newTally.answers,
                                newTally.faults,
                                newTally.slow,
                                oldTally.sent,
                                oldTally.answers)
                + " old_faults=%d old_slow=%d".formatted(oldTally.faults, oldTally.slow);
    }
}

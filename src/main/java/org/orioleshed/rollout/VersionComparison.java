package org.orioleshed.rollout;

/** Compares the failures and slowness of two versions on one route in one load band. */
final class VersionComparison {
    private static final double MIN_FAILURE_RATE = 0.01;
    private static final double MIN_SLOW_RATE = 0.12;

    private final RolloutLimits limits;
    private final Baseline oldFailures = new Baseline(MIN_FAILURE_RATE);
    private final Baseline oldSlowness = new Baseline(MIN_SLOW_RATE);
    private final SequentialRateTest failures = new SequentialRateTest();
    private final SequentialRateTest slowness = new SequentialRateTest();
    private long oldRuns;
    private long newRuns;

    VersionComparison(RolloutLimits limits) {
        this.limits = limits;
    }

    /** Adds runs of the old version. */
    void addOld(Tally runs) {
        oldRuns += runs.runs();
        oldFailures.add(runs.runs(), runs.failed() - runs.excused());
        oldSlowness.add(runs.timed(), runs.slow());
    }

    /** Adds runs of the new version. */
    void addNew(Tally runs) {
        newRuns += runs.runs();
        long failed = runs.failed() - runs.excused();
        failures.add(runs.runs(), failed, oldFailures.goodRate(), limits.failureGap());
        slowness.add(runs.timed(), runs.slow(), oldSlowness.goodRate(), limits.slowGap());
    }

    double alarm() {
        return Math.max(failures.alarm(), slowness.alarm());
    }

    double failureProof() {
        return failures.proof();
    }

    double slownessProof() {
        return slowness.proof();
    }

    /** Returns the old version's runs since the last {@link #restartProof}. */
    long oldRuns() {
        return oldRuns;
    }

    /** Returns the new version's runs since the last {@link #restartProof}. */
    long newRuns() {
        return newRuns;
    }

    void restartProof() {
        failures.restartProof();
        slowness.restartProof();
        oldRuns = 0;
        newRuns = 0;
    }

    String summary() {
        return String.format(
                java.util.Locale.ROOT,
                "failures=%.1f slowness=%.1f",
                failures.alarm(),
                slowness.alarm());
    }
}

package org.orioleshed.rollout;

/** Tests of one version against another on one route in one load band. */
final class VersionTest {
    private static final double FAILURE_FLOOR = 0.01;
    private static final double SLOW_FLOOR = 0.12;

    private final RolloutLimits limits;
    private final Baseline oldFailures = new Baseline(FAILURE_FLOOR);
    private final Baseline oldSlowness = new Baseline(SLOW_FLOOR);
    private final DriftTest failures = new DriftTest();
    private final DriftTest slowness = new DriftTest();
    private long oldRuns;
    private long newRuns;

    VersionTest(RolloutLimits limits) {
        this.limits = limits;
    }

    /** Counts runs of the old version. */
    void addOld(Tally runs) {
        oldRuns += runs.runs();
        oldFailures.add(runs.runs(), runs.failed() - runs.excused());
        oldSlowness.add(runs.timed(), runs.slow());
    }

    /** Counts runs of the new version. */
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

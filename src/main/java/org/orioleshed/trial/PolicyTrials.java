package org.orioleshed.trial;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.knowm.xchart.CategoryChart;

/** Compares the policy of this project with simpler policies under the same load patterns. */
public final class PolicyTrials {
    /** The speeds of the engines of about six machines, which differ by a factor of three. */
    private static final double[] SPEEDS = {
        0.55, 0.7, 0.8, 0.9, 1, 1, 1.1, 1.2, 1.3, 1.45, 1.6,
    };

    private static final SimulatedEngine.Spec ENGINE =
            new SimulatedEngine.Spec(7, 500_000, 10, 3.3, 0.25, 110, 1);

    /** The interval of load reports. */
    private static final long REPORT_INTERVAL_MILLIS = 1_500;

    private static final Map<String, BiFunction<TrialPolicy.Context, SplittableRandom, TrialPolicy>>
            POLICIES = policies();

    private PolicyTrials() {}

    private static Map<String, BiFunction<TrialPolicy.Context, SplittableRandom, TrialPolicy>>
            policies() {
        Map<String, BiFunction<TrialPolicy.Context, SplittableRandom, TrialPolicy>> policies =
                new LinkedHashMap<>();
        policies.put("engine-queues", (context, random) -> new EngineQueues(context, random, 0));
        policies.put(
                "two-choices",
                (context, random) -> new EngineQueues(context, random, REPORT_INTERVAL_MILLIS));
        policies.put("one-queue", (context, random) -> new OneQueue(context, OneQueue.BY_ARRIVAL));
        policies.put("strict-rank", (context, random) -> new OneQueue(context, OneQueue.BY_RANK));
        policies.put("orioleshed", (context, random) -> new PrimaryPolicy(context, ENGINE));
        return policies;
    }

    private static List<TrialReport> runTrials(int seeds) {
        List<TrialReport> reports = new ArrayList<>();
        for (LoadPattern pattern : LoadPattern.values()) {
            for (String policy : POLICIES.keySet()) {
                reports.add(runTrials(pattern, policy, seeds));
            }
        }
        return reports;
    }

    static TrialReport runTrials(LoadPattern pattern, String policy, int seeds) {
        List<List<TrialRequest>> requestsBySeed = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            requestsBySeed.add(
                    new PolicyTrial(pattern, ENGINE, SPEEDS, seed, POLICIES.get(policy)).run());
        }
        return TrialReport.of(pattern, policy, requestsBySeed);
    }

    /**
     * Runs all policies under all patterns, prints the results and returns a chart of them.
     *
     * @param seeds the number of seeds of each trial, counted from 1; positive
     * @throws IllegalArgumentException if {@code seeds} is not positive
     */
    public static CategoryChart run(int seeds, PrintStream out) {
        if (seeds <= 0) {
            throw new IllegalArgumentException("--seeds must be positive, found " + seeds);
        }
        List<TrialReport> reports = runTrials(seeds);
        print(reports, out);
        return TrialChart.of(reports);
    }

    private static void print(List<TrialReport> reports, PrintStream out) {
        out.printf(
                "%-13s%-14s%8s  %-20s%-18s%-20s%s%n",
                "pattern",
                "policy",
                "worth",
                "worth by kind",
                "first p95 ms",
                "unserved",
                "unserved wait ms");
        for (TrialReport report : reports) {
            out.printf(
                    "%-13s%-14s%8.3f  %-20s%-18s%-20s%s%n",
                    report.pattern().id(),
                    report.policy(),
                    report.valueShare(),
                    formatRow(report.valueShareByKind(), "%.3f"),
                    formatRow(report.firstEventMillis(), "%.0f"),
                    formatRow(report.unservedShare(), "%.3f"),
                    formatRow(report.unservedMillis(), "%.0f"));
        }
    }

    private static String formatRow(Map<String, Double> values, String format) {
        return String.join(
                " ", values.values().stream().map(value -> String.format(format, value)).toList());
    }
}

package org.orioleshed.trial;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.knowm.xchart.CategoryChart;

/** Compares the product's way to queue, place and refuse with simpler ones, on the same loads. */
public final class PolicyTrials {
    /** Engines differ by a factor of three; half a dozen machines' worth. */
    private static final double[] SPEEDS = {
        0.55, 0.7, 0.8, 0.9, 1, 1, 1.1, 1.2, 1.3, 1.45, 1.6,
    };

    private static final ModelEngine.Spec ENGINE =
            new ModelEngine.Spec(7, 500_000, 10, 3.3, 0.25, 110, 1);

    /** Engines report their load at this interval. */
    private static final long REPORT_MILLIS = 1_500;

    private static final Map<String, BiFunction<Policy.Floor, SplittableRandom, Policy>> POLICIES =
            policies();

    private PolicyTrials() {}

    private static Map<String, BiFunction<Policy.Floor, SplittableRandom, Policy>> policies() {
        Map<String, BiFunction<Policy.Floor, SplittableRandom, Policy>> all = new LinkedHashMap<>();
        all.put("engine-queues", (floor, random) -> new EngineQueues(floor, random, 0));
        all.put("two-choices", (floor, random) -> new EngineQueues(floor, random, REPORT_MILLIS));
        all.put("one-queue", (floor, random) -> new OneQueue(floor, OneQueue.ARRIVAL));
        all.put("strict-rank", (floor, random) -> new OneQueue(floor, OneQueue.RANK));
        all.put("orioleshed", (floor, random) -> new PrimaryPolicy(floor, ENGINE));
        return all;
    }

    private static List<TrialReport> play(int seeds) {
        List<TrialReport> reports = new ArrayList<>();
        for (LoadPattern pattern : LoadPattern.values()) {
            for (String policy : POLICIES.keySet()) {
                reports.add(play(pattern, policy, seeds));
            }
        }
        return reports;
    }

    static TrialReport play(LoadPattern pattern, String policy, int seeds) {
        List<List<TrialRequest>> played = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            played.add(new PolicyTrial(pattern, ENGINE, SPEEDS, seed, POLICIES.get(policy)).play());
        }
        return TrialReport.of(pattern, policy, played);
    }

    /**
     * Plays all patterns against all policies, prints what callers got, and returns a chart of it.
     *
     * @param seeds how many seeds each is played with, from 1 on; positive
     */
    public static CategoryChart run(int seeds, PrintStream out) {
        if (seeds <= 0) {
            throw new IllegalArgumentException("--seeds must be positive");
        }
        List<TrialReport> reports = play(seeds);
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
                "kept for ms");
        for (TrialReport report : reports) {
            out.printf(
                    "%-13s%-14s%8.3f  %-20s%-18s%-20s%s%n",
                    report.pattern().id(),
                    report.policy(),
                    report.worth(),
                    row(report.byKind(), "%.3f"),
                    row(report.firstMillis(), "%.0f"),
                    row(report.unserved(), "%.3f"),
                    row(report.heldMillis(), "%.0f"));
        }
    }

    private static String row(Map<String, Double> values, String format) {
        return String.join(
                " ", values.values().stream().map(value -> String.format(format, value)).toList());
    }
}

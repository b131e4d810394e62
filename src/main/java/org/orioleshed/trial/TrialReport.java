package org.orioleshed.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What callers got in trials of one policy under one pattern, over several seeds.
 *
 * @param pattern the pattern
 * @param policy the policy's name
 * @param worth the part of all worth that was had, the median over the seeds
 * @param byKind the same for each kind
 * @param firstMillis the time to the first event at the 95th percentile for each kind, in
 *     milliseconds, the median over the seeds
 * @param unserved the part of each kind that got no whole answer
 * @param heldMillis how long those were kept, on average, in milliseconds
 */
record TrialReport(
        LoadPattern pattern,
        String policy,
        double worth,
        Map<String, Double> byKind,
        Map<String, Double> firstMillis,
        Map<String, Double> unserved,
        Map<String, Double> heldMillis) {
    private static final double PERCENTILE = 0.95;

    /** Sums up what was played with several seeds. */
    static TrialReport of(LoadPattern pattern, String policy, List<List<TrialRequest>> played) {
        Map<String, Double> byKind = new LinkedHashMap<>();
        Map<String, Double> first = new LinkedHashMap<>();
        Map<String, Double> unserved = new LinkedHashMap<>();
        Map<String, Double> held = new LinkedHashMap<>();
        for (RequestKind kind : LoadPattern.KINDS) {
            List<List<TrialRequest>> ofKind =
                    played.stream().map(requests -> only(requests, kind)).toList();
            byKind.put(kind.name(), median(ofKind.stream().map(TrialReport::worth).toList()));
            first.put(kind.name(), median(ofKind.stream().map(TrialReport::first).toList()));
            unserved.put(kind.name(), median(ofKind.stream().map(TrialReport::unserved).toList()));
            held.put(kind.name(), median(ofKind.stream().map(TrialReport::held).toList()));
        }
        double worth = median(played.stream().map(TrialReport::worth).toList());
        return new TrialReport(pattern, policy, worth, byKind, first, unserved, held);
    }

    private static List<TrialRequest> only(List<TrialRequest> requests, RequestKind kind) {
        return requests.stream().filter(request -> request.kind.equals(kind)).toList();
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        sorted.sort(null);
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    private static double worth(List<TrialRequest> requests) {
        double most = requests.stream().mapToDouble(request -> request.kind.worth()).sum();
        double had = requests.stream().mapToDouble(TrialReport::had).sum();
        return most == 0 ? 0 : had / most;
    }

    private static double had(TrialRequest request) {
        if (!request.done) {
            return 0;
        }
        return request.isInTime() ? request.kind.worth() : request.kind.lateWorth();
    }

    private static double first(List<TrialRequest> requests) {
        List<Double> millis =
                requests.stream()
                        .filter(request -> request.done)
                        .map(request -> (request.firstNanos - request.cameNanos) / 1e6)
                        .sorted()
                        .toList();
        return millis.isEmpty() ? 0 : millis.get((int) (PERCENTILE * (millis.size() - 1)));
    }

    private static double held(List<TrialRequest> requests) {
        return requests.stream()
                .filter(request -> !request.done)
                .mapToDouble(request -> (request.gaveUpNanos - request.cameNanos) / 1e6)
                .average()
                .orElse(0);
    }

    private static double unserved(List<TrialRequest> requests) {
        long count = requests.stream().filter(request -> !request.done).count();
        return requests.isEmpty() ? 0 : (double) count / requests.size();
    }
}

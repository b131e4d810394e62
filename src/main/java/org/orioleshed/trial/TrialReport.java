package org.orioleshed.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The results of the trials of one policy under one pattern. All values are medians over the seeds.
 *
 * @param pattern the pattern
 * @param policy the policy's name
 * @param valueShare the achieved share of the value of all requests
 * @param valueShareByKind the same for each kind
 * @param firstEventMillis the 95th percentile of the time to the first event of completed requests,
 *     for each kind, in milliseconds
 * @param unservedShare the share of each kind that was not completed
 * @param unservedMillis the mean time until those were refused for good or their callers left, for
 *     each kind, in milliseconds
 */
record TrialReport(
        LoadPattern pattern,
        String policy,
        double valueShare,
        Map<String, Double> valueShareByKind,
        Map<String, Double> firstEventMillis,
        Map<String, Double> unservedShare,
        Map<String, Double> unservedMillis) {
    private static final double FIRST_EVENT_PERCENTILE = 0.95;

    /** Aggregates the requests of trials with several seeds. */
    static TrialReport of(
            LoadPattern pattern, String policy, List<List<TrialRequest>> requestsBySeed) {
        Map<String, Double> valueShareByKind = new LinkedHashMap<>();
        Map<String, Double> firstEventMillis = new LinkedHashMap<>();
        Map<String, Double> unservedShare = new LinkedHashMap<>();
        Map<String, Double> unservedMillis = new LinkedHashMap<>();
        for (RequestKind kind : LoadPattern.KINDS) {
            List<List<TrialRequest>> kindRequests =
                    requestsBySeed.stream().map(requests -> ofKind(requests, kind)).toList();
            valueShareByKind.put(
                    kind.name(),
                    median(kindRequests.stream().map(TrialReport::valueShare).toList()));
            firstEventMillis.put(
                    kind.name(),
                    median(kindRequests.stream().map(TrialReport::firstEventMillis).toList()));
            unservedShare.put(
                    kind.name(),
                    median(kindRequests.stream().map(TrialReport::unservedShare).toList()));
            unservedMillis.put(
                    kind.name(),
                    median(kindRequests.stream().map(TrialReport::unservedMillis).toList()));
        }
        double valueShare = median(requestsBySeed.stream().map(TrialReport::valueShare).toList());
        return new TrialReport(
                pattern,
                policy,
                valueShare,
                valueShareByKind,
                firstEventMillis,
                unservedShare,
                unservedMillis);
    }

    private static List<TrialRequest> ofKind(List<TrialRequest> requests, RequestKind kind) {
        return requests.stream().filter(request -> request.kind.equals(kind)).toList();
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        sorted.sort(null);
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    private static double valueShare(List<TrialRequest> requests) {
        double totalValue = requests.stream().mapToDouble(request -> request.kind.value()).sum();
        double achievedValue = requests.stream().mapToDouble(TrialReport::achievedValue).sum();
        return totalValue == 0 ? 0 : achievedValue / totalValue;
    }

    private static double achievedValue(TrialRequest request) {
        if (!request.completed) {
            return 0;
        }
        return request.isFirstEventInTime() ? request.kind.value() : request.kind.lateValue();
    }

    private static double firstEventMillis(List<TrialRequest> requests) {
        List<Double> millis =
                requests.stream()
                        .filter(request -> request.completed)
                        .map(request -> (request.firstEventNanos - request.arrivalNanos) / 1e6)
                        .sorted()
                        .toList();
        return millis.isEmpty()
                ? 0
                : millis.get((int) (FIRST_EVENT_PERCENTILE * (millis.size() - 1)));
    }

    private static double unservedMillis(List<TrialRequest> requests) {
        return requests.stream()
                .filter(request -> !request.completed)
                .mapToDouble(request -> (request.abandonedNanos - request.arrivalNanos) / 1e6)
                .average()
                .orElse(0);
    }

    private static double unservedShare(List<TrialRequest> requests) {
        long count = requests.stream().filter(request -> !request.completed).count();
        return requests.isEmpty() ? 0 : (double) count / requests.size();
    }
}

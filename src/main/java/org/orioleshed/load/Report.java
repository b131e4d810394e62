package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.orioleshed.load.Result.End;
import org.orioleshed.standin.RunRecord;

/** Aggregates the results of an experiment: replies to callers compared with runs on stand-ins. */
final class Report {
    /** The tiers, most urgent first. */
    static final List<String> TIERS = List.of("urgent", "standard", "patient");

    /** Error codes of refusals that are not caused by a lack of capacity on engines. */
    private static final Set<String> NOT_SHED_CODES =
            Set.of("workspace_limit", "store_away", "draining", "poison", "host_lost");

    private static final long SHED_OVERLAP_MILLIS = 200;
    private static final double PERCENTILE = 95;
    private static final int MAX_VIOLATIONS = 20;

    private final List<Result> results;
    private final RunLog runLog;
    private final LatencyHistograms firstTokens = new LatencyHistograms();

    Report(List<Result> results, RunLog runLog) {
        this.results = List.copyOf(results);
        this.runLog = runLog;
        for (Result result : results) {
            if (result.firstTokenMillis() >= 0 && isText(result)) {
                long nanos = result.firstTokenMillis() * 1_000_000;
                firstTokens.record(result.request().traffic().tier(), nanos);
            }
        }
    }

    /** Returns the report as JSON, without the fields that {@link Experiment} adds. */
    ObjectNode json(LatencyHistograms tokenGaps) {
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("requests", results.size());
        json.put("answered", count(End.ANSWERED));
        json.put("failed", count(End.FAILED));
        json.put("notRun", count(End.NOT_RUN));
        json.put("inDoubt", count(End.IN_DOUBT));
        json.put("lost", count(End.LOST));
        json.put("doubleRuns", results.stream().filter(r -> runLog.ranTwice(r.request())).count());
        json.put("falseNotRun", results.stream().filter(runLog::isFalseNotRun).count());
        json.put("wrongAnswers", results.stream().filter(r -> !r.right()).count());
        Set<Result> shed = shedWhileLowerRan();
        json.put("shedWhileLowerRan", shed.size());
        json.set("goodput", byTier(this::goodput));
        json.put("goodputAll", inTimeShare(results));
        json.set(
                "goodputModel",
                byTier(tier -> inTimeShare(resultsOf(tier).filter(Report::isText).toList())));
        long usefulTokens = results.stream().mapToLong(runLog::usefulPrefillTokens).sum();
        long totalTokens =
                results.stream().mapToLong(r -> runLog.totalPrefillTokens(r.request())).sum();
        json.put("usefulPrefillTokens", usefulTokens);
        json.put("wastedPrefillTokens", totalTokens - usefulTokens);
        json.set("firstTokenMillisP95", byTier(tier -> firstTokens.millis(tier, PERCENTILE)));
        json.set("tokenGapMillisP95", byTier(tier -> tokenGaps.millis(tier, PERCENTILE)));
        json.set("refusals", refusals());
        json.set("violations", violations(shed));
        return json;
    }

    private double goodput(String tier) {
        return inTimeShare(resultsOf(tier).toList());
    }

    private static double inTimeShare(List<Result> results) {
        if (results.isEmpty()) {
            return 1;
        }
        double inTime = results.stream().filter(Result::inTime).count();
        return Math.round(inTime / results.size() * 1e4) / 1e4;
    }

    private java.util.stream.Stream<Result> resultsOf(String tier) {
        return results.stream().filter(r -> r.request().traffic().tier().equals(tier));
    }

    private static boolean isText(Result result) {
        return result.request().traffic().payload() instanceof Traffic.Payload.Text;
    }

    private long count(End end) {
        return results.stream().filter(result -> result.end() == end).count();
    }

    private static ObjectNode byTier(ToDoubleFunction<String> value) {
        ObjectNode json = Json.MAPPER.createObjectNode();
        TIERS.forEach(tier -> json.put(tier, value.applyAsDouble(tier)));
        return json;
    }

    private ObjectNode refusals() {
        Map<String, Integer> counts = new HashMap<>();
        for (Result result : results) {
            if (result.end() != End.ANSWERED && !result.sends().isEmpty()) {
                Result.Send last = result.sends().getLast();
                String tier = result.request().traffic().tier();
                counts.merge(tier + " " + last.word() + " " + last.code(), 1, Integer::sum);
            }
        }
        return Json.MAPPER.valueToTree(new java.util.TreeMap<>(counts));
    }

    /** Lists the requests that violate a guarantee, with their runs and sends. */
    private ArrayNode violations(Set<Result> shed) {
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (Result result : results) {
            String violation = violation(result, shed);
            if (list.size() < MAX_VIOLATIONS && !violation.isEmpty()) {
                list.add(
                        String.format(
                                "%s %s: %s, runs %s, sends %s",
                                result.request().traffic().tier(),
                                result.request().tag(),
                                violation,
                                runLog.runs(result.request()),
                                result.sends()));
            }
        }
        return list;
    }

    /** Returns the guarantee that a result violates; empty for none. */
    private String violation(Result result, Set<Result> shed) {
        if (runLog.ranTwice(result.request())) {
            return "ran twice";
        }
        if (runLog.isFalseNotRun(result)) {
            return "not run was untrue";
        }
        if (!result.right()) {
            return "wrong answer";
        }
        return shed.contains(result) ? "shed while a lower tier ran" : "";
    }

    /** Returns the requests that were refused while a request of a lower tier ran. */
    private Set<Result> shedWhileLowerRan() {
        Set<Result> shed = new HashSet<>();
        for (int rank = 0; rank < TIERS.size() - 1; rank++) {
            List<String> lower = TIERS.subList(rank + 1, TIERS.size());
            List<RunRecord> lowerRuns =
                    lower.stream()
                            .flatMap(this::resultsOf)
                            .filter(Report::isText)
                            .flatMap(result -> runLog.runs(result.request()).stream())
                            .toList();
            resultsOf(TIERS.get(rank))
                    .filter(Report::isText)
                    .filter(result -> isShedWhile(lowerRuns, result))
                    .forEach(shed::add);
        }
        return shed;
    }

    private static boolean isShedWhile(List<RunRecord> lowerRuns, Result result) {
        return result.sends().stream()
                .filter(
                        send ->
                                send.word().equals("not_run")
                                        && !NOT_SHED_CODES.contains(send.code()))
                .anyMatch(
                        send ->
                                RunLog.ranThroughout(
                                        lowerRuns,
                                        send.endMillis() - SHED_OVERLAP_MILLIS,
                                        send.endMillis()));
    }
}

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

/**
 * Counts the results of an experiment from outside: what callers saw against what stand-ins ran.
 */
final class Report {
    /** The tiers, the most urgent first. */
    static final List<String> TIERS = List.of("urgent", "standard", "patient");

    /** Refusals that say nothing about the room on engines. */
    private static final Set<String> NOT_SHED =
            Set.of("workspace_limit", "store_away", "draining", "poison", "host_lost");

    private static final long SHED_LAG_MILLIS = 200;
    private static final double PERCENTILE = 95;
    private static final int MAX_VIOLATIONS = 20;

    private final List<Result> results;
    private final Ledger ledger;
    private final Timings firstTokens = new Timings();

    Report(List<Result> results, Ledger ledger) {
        this.results = List.copyOf(results);
        this.ledger = ledger;
        for (Result result : results) {
            if (result.firstTokenMillis() >= 0 && isText(result)) {
                long nanos = result.firstTokenMillis() * 1_000_000;
                firstTokens.record(result.request().traffic().tier(), nanos);
            }
        }
    }

    /** Returns the report's JSON, without the fields that only the experiment knows. */
    ObjectNode json(Timings gaps) {
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("requests", results.size());
        json.put("answered", count(End.ANSWERED));
        json.put("failed", count(End.FAILED));
        json.put("notRun", count(End.NOT_RUN));
        json.put("inDoubt", count(End.IN_DOUBT));
        json.put("lost", count(End.LOST));
        json.put("doubleRuns", results.stream().filter(r -> ledger.ranTwice(r.request())).count());
        json.put("falseNotRun", results.stream().filter(ledger::falselyNotRun).count());
        json.put("wrongAnswers", results.stream().filter(r -> !r.right()).count());
        Set<Result> shed = shedWhileLowerRan();
        json.put("shedWhileLowerRan", shed.size());
        json.set("goodput", byTier(this::goodput));
        json.put("goodputAll", share(results));
        json.set("goodputModel", byTier(tier -> share(of(tier).filter(Report::isText).toList())));
        long useful = results.stream().mapToLong(ledger::usefulPrefill).sum();
        long all = results.stream().mapToLong(r -> ledger.allPrefill(r.request())).sum();
        json.put("usefulPrefillTokens", useful);
        json.put("wastedPrefillTokens", all - useful);
        json.set("firstTokenMillisP95", byTier(tier -> firstTokens.millis(tier, PERCENTILE)));
        json.set("tokenGapMillisP95", byTier(tier -> gaps.millis(tier, PERCENTILE)));
        json.set("refusals", refusals());
        json.set("violations", violations(shed));
        return json;
    }

    private double goodput(String tier) {
        return share(of(tier).toList());
    }

    private static double share(List<Result> of) {
        if (of.isEmpty()) {
            return 1;
        }
        double good = of.stream().filter(Result::inTime).count();
        return Math.round(good / of.size() * 1e4) / 1e4;
    }

    private java.util.stream.Stream<Result> of(String tier) {
        return results.stream().filter(r -> r.request().traffic().tier().equals(tier));
    }

    private static boolean isText(Result result) {
        return result.request().traffic().ask() instanceof Traffic.Ask.Text;
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

    /** Names the requests that broke a promise, with the runs that show it. */
    private ArrayNode violations(Set<Result> shed) {
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (Result result : results) {
            String broken = broken(result, shed);
            if (list.size() < MAX_VIOLATIONS && !broken.isEmpty()) {
                list.add(
                        String.format(
                                "%s %s: %s, runs %s, sends %s",
                                result.request().traffic().tier(),
                                result.request().tag(),
                                broken,
                                ledger.runs(result.request()),
                                result.sends()));
            }
        }
        return list;
    }

    /** Returns which promise a result broke; empty when none. */
    private String broken(Result result, Set<Result> shed) {
        if (ledger.ranTwice(result.request())) {
            return "ran twice";
        }
        if (ledger.falselyNotRun(result)) {
            return "not run was untrue";
        }
        if (!result.right()) {
            return "wrong answer";
        }
        return shed.contains(result) ? "shed while a lower tier ran" : "";
    }

    /** Returns the requests that were refused while work of a lower tier ran. */
    private Set<Result> shedWhileLowerRan() {
        Set<Result> shed = new HashSet<>();
        for (int rank = 0; rank < TIERS.size() - 1; rank++) {
            List<String> lower = TIERS.subList(rank + 1, TIERS.size());
            List<RunRecord> lowerRuns =
                    lower.stream()
                            .flatMap(this::of)
                            .filter(Report::isText)
                            .flatMap(result -> ledger.runs(result.request()).stream())
                            .toList();
            of(TIERS.get(rank))
                    .filter(Report::isText)
                    .filter(result -> shedWhile(lowerRuns, result))
                    .forEach(shed::add);
        }
        return shed;
    }

    private static boolean shedWhile(List<RunRecord> lowerRuns, Result result) {
        return result.sends().stream()
                .filter(send -> send.word().equals("not_run") && !NOT_SHED.contains(send.code()))
                .anyMatch(
                        send ->
                                Ledger.ranThrough(
                                        lowerRuns,
                                        send.endMillis() - SHED_LAG_MILLIS,
                                        send.endMillis()));
    }
}

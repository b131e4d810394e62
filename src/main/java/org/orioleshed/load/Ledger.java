package org.orioleshed.load;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.orioleshed.load.FleetLayout.Server;
import org.orioleshed.standin.RunRecord;

/** What the stand-ins say they ran: the witness against which callers' outcomes are checked. */
final class Ledger {
    private final Map<String, List<RunRecord>> byTag;

    Ledger(List<RunRecord> runs) {
        this.byTag =
                runs.stream()
                        .filter(run -> run.startedMillis() > 0)
                        .sorted(Comparator.comparingLong(RunRecord::startedMillis))
                        .collect(Collectors.groupingBy(RunRecord::tag));
    }

    /** Asks all backend servers' stand-ins. */
    static Ledger read(Http http, List<Server> servers) throws IOException, InterruptedException {
        List<RunRecord> runs = new ArrayList<>();
        for (Server server : servers) {
            var answer = http.get(server.url() + "/standin/runs");
            runs.addAll(Json.MAPPER.convertValue(answer, new TypeReference<List<RunRecord>>() {}));
        }
        return new Ledger(runs);
    }

    /** Returns all runs that began. */
    List<RunRecord> runs() {
        return byTag.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the runs of a request in order of their start; those that never began left out. */
    List<RunRecord> runs(PlannedRequest request) {
        return byTag.getOrDefault(request.tag(), List.of());
    }

    /** Returns whether a non-repeatable call ran twice, or a model request ran twice at once. */
    boolean ranTwice(PlannedRequest request) {
        List<RunRecord> runs = runs(request);
        if (request.traffic().ask() instanceof Traffic.Ask.Call call) {
            return !call.repeatable() && runs.size() > 1;
        }
        for (int i = 1; i < runs.size(); i++) {
            RunRecord before = runs.get(i - 1);
            boolean running = before.endedMillis() == 0;
            if (running || before.endedMillis() > runs.get(i).startedMillis()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an answer "not run" was untrue. */
    boolean falselyNotRun(Result result) {
        List<RunRecord> runs = runs(result.request());
        List<Result.Send> sends = result.sends();
        for (int i = 0; i < sends.size() && sends.get(i).word().equals("not_run"); i++) {
            boolean last = i == sends.size() - 1;
            long until = last ? Long.MAX_VALUE : sends.get(i + 1).startMillis();
            if (runs.stream().anyMatch(run -> did(run) && run.startedMillis() < until)) {
                return true;
            }
        }
        return false;
    }

    private static boolean did(RunRecord run) {
        return run.finished() || run.prefillTokens() > 0;
    }

    /** Returns whether any of {@code runs} ran at both moments and between, in epoch millis. */
    static boolean ranThrough(List<RunRecord> runs, long fromMillis, long toMillis) {
        return runs.stream()
                .anyMatch(
                        run ->
                                run.startedMillis() <= fromMillis
                                        && (run.endedMillis() == 0
                                                || run.endedMillis() >= toMillis));
    }

    /** Returns the prefill tokens of the run that brought the answer. */
    long usefulPrefill(Result result) {
        if (!result.inTime()) {
            return 0;
        }
        List<RunRecord> finished =
                runs(result.request()).stream().filter(RunRecord::finished).toList();
        return finished.isEmpty() ? 0 : finished.getLast().prefillTokens();
    }

    /** Returns the prefill tokens of all runs of a request. */
    long allPrefill(PlannedRequest request) {
        return runs(request).stream().mapToLong(RunRecord::prefillTokens).sum();
    }
}

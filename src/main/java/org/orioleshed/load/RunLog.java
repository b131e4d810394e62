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

/** The runs recorded by the stand-ins, against which the outcomes seen by callers are checked. */
final class RunLog {
    private final Map<String, List<RunRecord>> byTag;

    RunLog(List<RunRecord> runs) {
        this.byTag =
                runs.stream()
                        .filter(run -> run.startedMillis() > 0)
                        .sorted(Comparator.comparingLong(RunRecord::startedMillis))
                        .collect(Collectors.groupingBy(RunRecord::tag));
    }

    /** Reads the runs of all backend servers' stand-ins. */
    static RunLog read(Http http, List<Server> servers) throws IOException, InterruptedException {
        List<RunRecord> runs = new ArrayList<>();
        for (Server server : servers) {
            var response = http.get(server.url() + "/standin/runs");
            runs.addAll(
                    Json.MAPPER.convertValue(response, new TypeReference<List<RunRecord>>() {}));
        }
        return new RunLog(runs);
    }

    /** Returns all runs that started. */
    List<RunRecord> runs() {
        return byTag.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the started runs of a request in order of their start. */
    List<RunRecord> runs(PlannedRequest request) {
        return byTag.getOrDefault(request.tag(), List.of());
    }

    /**
     * Returns whether a non-repeatable call ran more than once, or two runs of a model request
     * overlapped.
     */
    boolean ranTwice(PlannedRequest request) {
        List<RunRecord> runs = runs(request);
        if (request.traffic().payload() instanceof Traffic.Payload.Call call) {
            return !call.repeatable() && runs.size() > 1;
        }
        for (int i = 1; i < runs.size(); i++) {
            RunRecord previous = runs.get(i - 1);
            boolean running = previous.endedMillis() == 0;
            if (running || previous.endedMillis() > runs.get(i).startedMillis()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a request was reported as not run although it had run. */
    boolean isFalseNotRun(Result result) {
        List<RunRecord> runs = runs(result.request());
        List<Result.Send> sends = result.sends();
        for (int i = 0; i < sends.size() && sends.get(i).word().equals("not_run"); i++) {
            boolean isLast = i == sends.size() - 1;
            long untilMillis = isLast ? Long.MAX_VALUE : sends.get(i + 1).startMillis();
            if (runs.stream().anyMatch(run -> executed(run) && run.startedMillis() < untilMillis)) {
                return true;
            }
        }
        return false;
    }

    private static boolean executed(RunRecord run) {
        return run.finished() || run.prefillTokens() > 0;
    }

    /**
     * Returns whether any of {@code runs} ran for the whole interval.
     *
     * @param fromMillis the start of the interval, in milliseconds since the epoch
     * @param toMillis the end of the interval, in milliseconds since the epoch
     */
    static boolean ranThroughout(List<RunRecord> runs, long fromMillis, long toMillis) {
        return runs.stream()
                .anyMatch(
                        run ->
                                run.startedMillis() <= fromMillis
                                        && (run.endedMillis() == 0
                                                || run.endedMillis() >= toMillis));
    }

    /** Returns the prefill tokens of the run that gave an answer in time; zero if there is none. */
    long usefulPrefillTokens(Result result) {
        if (!result.inTime()) {
            return 0;
        }
        List<RunRecord> finished =
                runs(result.request()).stream().filter(RunRecord::finished).toList();
        return finished.isEmpty() ? 0 : finished.getLast().prefillTokens();
    }

    /** Returns the prefill tokens of all runs of a request. */
    long totalPrefillTokens(PlannedRequest request) {
        return runs(request).stream().mapToLong(RunRecord::prefillTokens).sum();
    }
}

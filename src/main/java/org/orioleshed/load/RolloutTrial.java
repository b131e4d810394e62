package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.orioleshed.load.FleetLayout.Host;
import org.orioleshed.standin.RunRecord;

/**
 * One move, planned through the admin API and judged from outside: by the record in the store and
 * by the runs that the engines of each version saw.
 */
final class RolloutTrial {
    private static final long POLL_MILLIS = 100;
    private static final long SHOWN_MILLIS = 1_000;
    private static final long SHARE_WINDOW_MILLIS = 10_000;
    private static final int MIN_WINDOW_RUNS = 100;

    private final AdminClient admin;
    private final StoreClient store;
    private final FleetLayout layout;
    private final String id;
    private final boolean bad;
    private final List<String> outcomes = new ArrayList<>();
    private long plannedMillis;
    private long completeByMillis;
    private long outcomeMillis;
    private long shownMillis;
    private String problem = "";
    private String reason = "";

    RolloutTrial(AdminClient admin, StoreClient store, FleetLayout layout, String id, boolean bad) {
        this.admin = admin;
        this.store = store;
        this.layout = layout;
        this.id = id;
        this.bad = bad;
    }

    /** Plans the move and watches it until {@code endMillis}, in milliseconds since the epoch. */
    void run(long completeBy, long endMillis) throws IOException, InterruptedException {
        plannedMillis = System.currentTimeMillis();
        completeByMillis = completeBy;
        List<String> routes =
                layout.deployment().mix().stream()
                        .filter(traffic -> traffic.ask() instanceof Traffic.Ask.Text)
                        .map(Traffic::route)
                        .toList();
        String model = layout.deployment().model();
        AdminClient.Answer answer =
                admin.plan(layout.hosts().getFirst(), id, model, routes, completeBy);
        if (answer.status() != 200) {
            problem = answer.status() + " " + answer.body();
            return;
        }
        while (System.currentTimeMillis() < endMillis) {
            look();
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void look() throws InterruptedException {
        try {
            JsonNode rollout = store.value("orioleshed/moves/" + id);
            String state = rollout.path("state").asText();
            boolean outcome = state.equals("COMPLETED") || state.equals("TAKEN_BACK");
            if (outcome && !outcomes.contains(state)) {
                outcomes.add(state);
                reason = rollout.path("reason").asText();
                outcomeMillis = System.currentTimeMillis();
                shownMillis = shownMillis == 0 ? outcomeMillis : shownMillis;
            }
            if (shownMillis == 0 && anyBreaker()) {
                shownMillis = System.currentTimeMillis();
            }
        } catch (IOException e) {
            problem = e.getMessage();
        }
    }

    private boolean anyBreaker() throws IOException, InterruptedException {
        for (Host host : layout.hosts()) {
            JsonNode table = admin.rollout(host, id).body();
            JsonNode row = table.path("rows").path(0);
            for (int i = 0; i < row.size(); i++) {
                boolean breaker = table.path("columns").path(i).asText().equals("fuse");
                if (breaker && !row.path(i).asText().isEmpty()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Adds what was seen to a report. */
    void report(ObjectNode json, Ledger ledger) {
        boolean completed = outcomes.contains("COMPLETED");
        boolean inTime = completed && outcomeMillis <= completeByMillis;
        boolean takenBack = outcomes.contains("TAKEN_BACK");
        ObjectNode rollouts = json.putObject("moves");
        rollouts.put("goodTotal", bad ? 0 : 1);
        rollouts.put("goodInTime", !bad && inTime ? 1 : 0);
        rollouts.put("badTotal", bad ? 1 : 0);
        rollouts.put("badTakenBack", bad && takenBack ? 1 : 0);
        rollouts.put("badShareMax", bad ? shareMax(ledger.runs()) : 0);
        rollouts.put("badRequestsAfterFault", bad ? runsAfterFault(ledger.runs()) : 0);
        rollouts.put("outcomesPerMove", outcomes.size());
        rollouts.put("newVersionRuns", ledger.runs().stream().filter(this::isNew).count());
        rollouts.put("outcomeAfterMillis", outcomeMillis == 0 ? -1 : outcomeMillis - plannedMillis);
        rollouts.put("reason", reason);
        rollouts.put("faultShownAfterMillis", shownMillis == 0 ? -1 : shownMillis - plannedMillis);
        rollouts.put("problem", problem);
    }

    private boolean isNew(RunRecord run) {
        return run.version().equals(FleetLayout.NEW_VERSION);
    }

    private long runsAfterFault(List<RunRecord> runs) {
        if (shownMillis == 0) {
            return 0;
        }
        return runs.stream()
                .filter(this::isNew)
                .filter(run -> run.startedMillis() > shownMillis + SHOWN_MILLIS)
                .count();
    }

    /** Returns the largest share of the new version over any ten seconds with enough runs. */
    private double shareMax(List<RunRecord> runs) {
        List<RunRecord> sorted =
                runs.stream()
                        .filter(run -> !run.version().isEmpty())
                        .sorted(Comparator.comparingLong(RunRecord::startedMillis))
                        .toList();
        double most = 0;
        int fresh = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            fresh += isNew(sorted.get(last)) ? 1 : 0;
            long from = sorted.get(last).startedMillis() - SHARE_WINDOW_MILLIS;
            while (sorted.get(first).startedMillis() < from) {
                fresh -= isNew(sorted.get(first)) ? 1 : 0;
                first++;
            }
            int count = last - first + 1;
            if (count >= MIN_WINDOW_RUNS) {
                most = Math.max(most, (double) fresh / count);
            }
        }
        return most;
    }
}

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
 * Plans a rollout through the admin API and observes it from outside: by its record in the store
 * and by the runs on the engines of each version.
 */
final class RolloutTrial {
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final long DETECTION_GRACE_MILLIS = 1_000;
    private static final long SHARE_WINDOW_MILLIS = 10_000;
    private static final int MIN_WINDOW_RUNS = 100;

    private final AdminClient admin;
    private final StoreClient store;
    private final FleetLayout layout;
    private final String id;
    private final boolean badVersion;
    private final List<String> outcomes = new ArrayList<>();
    private long plannedMillis;
    private long completeByMillis;
    private long outcomeMillis;
    private long faultDetectedMillis;
    private String problem = "";
    private String reason = "";

    RolloutTrial(
            AdminClient admin,
            StoreClient store,
            FleetLayout layout,
            String id,
            boolean badVersion) {
        this.admin = admin;
        this.store = store;
        this.layout = layout;
        this.id = id;
        this.badVersion = badVersion;
    }

    /**
     * Plans the rollout and observes it.
     *
     * @param completeByMillis the time by which it must be completed, in milliseconds since the
     *     epoch
     * @param endMillis the time until which it is observed, in milliseconds since the epoch
     */
    void run(long completeByMillis, long endMillis) throws IOException, InterruptedException {
        plannedMillis = System.currentTimeMillis();
        this.completeByMillis = completeByMillis;
        List<String> routes =
                layout.deployment().mix().stream()
                        .filter(traffic -> traffic.payload() instanceof Traffic.Payload.Text)
                        .map(Traffic::route)
                        .toList();
        String model = layout.deployment().model();
        AdminClient.Response response =
                admin.planRollout(layout.hosts().getFirst(), id, model, routes, completeByMillis);
        if (response.status() != 200) {
            problem = response.status() + " " + response.body();
            return;
        }
        while (System.currentTimeMillis() < endMillis) {
            poll();
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void poll() throws InterruptedException {
        try {
            JsonNode rollout = store.value("orioleshed/moves/" + id);
            String state = rollout.path("state").asText();
            boolean isOutcome = state.equals("COMPLETED") || state.equals("TAKEN_BACK");
            if (isOutcome && !outcomes.contains(state)) {
                outcomes.add(state);
                reason = rollout.path("reason").asText();
                outcomeMillis = System.currentTimeMillis();
                faultDetectedMillis =
                        faultDetectedMillis == 0 ? outcomeMillis : faultDetectedMillis;
            }
            if (faultDetectedMillis == 0 && isAnyBreakerTripped()) {
                faultDetectedMillis = System.currentTimeMillis();
            }
        } catch (IOException e) {
            problem = e.getMessage();
        }
    }

    private boolean isAnyBreakerTripped() throws IOException, InterruptedException {
        for (Host host : layout.hosts()) {
            JsonNode table = admin.rollout(host, id).body();
            JsonNode row = table.path("rows").path(0);
            for (int i = 0; i < row.size(); i++) {
                boolean isBreakerColumn = table.path("columns").path(i).asText().equals("fuse");
                if (isBreakerColumn && !row.path(i).asText().isEmpty()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Adds the observations to a report. */
    void report(ObjectNode json, RunLog runLog) {
        boolean completed = outcomes.contains("COMPLETED");
        boolean inTime = completed && outcomeMillis <= completeByMillis;
        boolean rolledBack = outcomes.contains("TAKEN_BACK");
        ObjectNode rollouts = json.putObject("moves");
        rollouts.put("goodTotal", badVersion ? 0 : 1);
        rollouts.put("goodInTime", !badVersion && inTime ? 1 : 0);
        rollouts.put("badTotal", badVersion ? 1 : 0);
        rollouts.put("badTakenBack", badVersion && rolledBack ? 1 : 0);
        rollouts.put("badShareMax", badVersion ? maxNewVersionShare(runLog.runs()) : 0);
        rollouts.put("badRequestsAfterFault", badVersion ? countRunsAfterFault(runLog.runs()) : 0);
        rollouts.put("outcomesPerMove", outcomes.size());
        rollouts.put("newVersionRuns", runLog.runs().stream().filter(this::isNewVersion).count());
        rollouts.put("outcomeAfterMillis", outcomeMillis == 0 ? -1 : outcomeMillis - plannedMillis);
        rollouts.put("reason", reason);
        rollouts.put(
                "faultShownAfterMillis",
                faultDetectedMillis == 0 ? -1 : faultDetectedMillis - plannedMillis);
        rollouts.put("problem", problem);
    }

    private boolean isNewVersion(RunRecord run) {
        return run.version().equals(FleetLayout.NEW_VERSION);
    }

    private long countRunsAfterFault(List<RunRecord> runs) {
        if (faultDetectedMillis == 0) {
            return 0;
        }
        return runs.stream()
                .filter(this::isNewVersion)
                .filter(run -> run.startedMillis() > faultDetectedMillis + DETECTION_GRACE_MILLIS)
                .count();
    }

    /** Returns the largest share of the new version in any window with enough runs. */
    private double maxNewVersionShare(List<RunRecord> runs) {
        List<RunRecord> sorted =
                runs.stream()
                        .filter(run -> !run.version().isEmpty())
                        .sorted(Comparator.comparingLong(RunRecord::startedMillis))
                        .toList();
        double maxShare = 0;
        int newRuns = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            newRuns += isNewVersion(sorted.get(last)) ? 1 : 0;
            long windowStartMillis = sorted.get(last).startedMillis() - SHARE_WINDOW_MILLIS;
            while (sorted.get(first).startedMillis() < windowStartMillis) {
                newRuns -= isNewVersion(sorted.get(first)) ? 1 : 0;
                first++;
            }
            int count = last - first + 1;
            if (count >= MIN_WINDOW_RUNS) {
                maxShare = Math.max(maxShare, (double) newRuns / count);
            }
        }
        return maxShare;
    }
}

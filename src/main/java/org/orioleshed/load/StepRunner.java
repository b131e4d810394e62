package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.load.FleetLayout.Server;

/** Executes the steps of a scenario at their times. */
final class StepRunner {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long OBSERVE_AFTER_END_MILLIS = 5_000;

    private final Http http;
    private final FleetLayout layout;
    private final Scenario scenario;
    private final double seconds;
    private final PrintStream out;
    private final AdminClient admin;
    private final List<Thread> stepThreads = new CopyOnWriteArrayList<>();
    private final List<SettingsTrial> settingsTrials = new CopyOnWriteArrayList<>();
    private final List<RolloutTrial> rolloutTrials = new CopyOnWriteArrayList<>();
    private long startMillis;

    StepRunner(Http http, FleetLayout layout, Scenario scenario, double seconds, PrintStream out) {
        this.http = http;
        this.layout = layout;
        this.scenario = scenario;
        this.seconds = seconds;
        this.out = out;
        this.admin = new AdminClient(http);
    }

    /** Schedules all steps relative to the current time. */
    void schedule(ScheduledExecutorService scheduler) {
        startMillis = System.currentTimeMillis();
        for (Step step : scenario.steps()) {
            Runnable execution =
                    () -> stepThreads.add(Thread.ofVirtual().start(() -> execute(step)));
            var unused = scheduler.schedule(execution, millis(step.at()), TimeUnit.MILLISECONDS);
        }
    }

    /** Adds the observations of the steps to a report. */
    void report(ObjectNode json, RunLog runLog) {
        settingsTrials.forEach(trial -> trial.report(json));
        rolloutTrials.forEach(trial -> trial.report(json, runLog));
    }

    /** Waits for all started steps to end. */
    void await() throws InterruptedException {
        for (Thread thread : stepThreads) {
            thread.join();
        }
    }

    private long millis(double share) {
        return Math.round(share * seconds * MILLIS_PER_SECOND);
    }

    private void execute(Step step) {
        out.println("step " + step);
        try {
            switch (step) {
                case Step.EngineFaults faults -> setEngineFaults(faults);
                case Step.StoreFaults faults -> setFaults(layout.storeUrl(), faults.faults());
                case Step.Processes processes -> {}
                case Step.Operators operators -> changeSettings(operators);
                case Step.Rollout rollout -> rollOut(rollout);
            }
        } catch (IOException e) {
            out.println("step failed: " + step + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void changeSettings(Step.Operators step) throws InterruptedException {
        SettingsTrial trial = new SettingsTrial(admin, layout);
        settingsTrials.add(trial);
        trial.run(step.operators(), startMillis + millis(step.until()));
    }

    private void rollOut(Step.Rollout step) throws IOException, InterruptedException {
        StoreClient store = new StoreClient(http, layout.storeUrl());
        RolloutTrial trial =
                new RolloutTrial(admin, store, layout, "move-1", scenario.hasBadVersion());
        rolloutTrials.add(trial);
        long endMillis = startMillis + millis(1) + OBSERVE_AFTER_END_MILLIS;
        trial.run(startMillis + millis(step.completeBy()), endMillis);
    }

    private void setEngineFaults(Step.EngineFaults step) throws IOException, InterruptedException {
        List<Server> engines = layout.engines();
        for (int engine : step.engines()) {
            setFaults(engines.get(engine).url(), step.faults());
        }
    }

    private void setFaults(String url, String faults) throws IOException, InterruptedException {
        http.post(url + "/standin/faults", Json.MAPPER.readTree(faults));
    }
}

package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.load.FleetLayout.Server;

/** Takes the steps of a scenario, each at its time. */
final class Steps {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long LOOK_AFTER_END_MILLIS = 5_000;

    private final Http http;
    private final FleetLayout layout;
    private final Scenario scenario;
    private final double seconds;
    private final PrintStream out;
    private final AdminClient admin;
    private final List<Thread> running = new CopyOnWriteArrayList<>();
    private final List<SettingsTrial> settings = new CopyOnWriteArrayList<>();
    private final List<RolloutTrial> rollouts = new CopyOnWriteArrayList<>();
    private long startMillis;

    Steps(Http http, FleetLayout layout, Scenario scenario, double seconds, PrintStream out) {
        this.http = http;
        this.layout = layout;
        this.scenario = scenario;
        this.seconds = seconds;
        this.out = out;
        this.admin = new AdminClient(http);
    }

    /** Schedules all steps; the experiment starts now. */
    void schedule(ScheduledExecutorService timer) {
        startMillis = System.currentTimeMillis();
        for (Step step : scenario.steps()) {
            Runnable start = () -> running.add(Thread.ofVirtual().start(() -> take(step)));
            var unused = timer.schedule(start, millis(step.at()), TimeUnit.MILLISECONDS);
        }
    }

    /** Adds what the steps saw to a report. */
    void report(ObjectNode json, Ledger ledger) {
        settings.forEach(trial -> trial.report(json));
        rollouts.forEach(trial -> trial.report(json, ledger));
    }

    /** Waits for the steps that still watch something. */
    void await() throws InterruptedException {
        for (Thread thread : running) {
            thread.join();
        }
    }

    private long millis(double share) {
        return Math.round(share * seconds * MILLIS_PER_SECOND);
    }

    private void take(Step step) {
        out.println("step " + step);
        try {
            switch (step) {
                case Step.EngineFaults faults -> setEngineFaults(faults);
                case Step.StoreFaults faults -> setFaults(layout.storeUrl(), faults.faults());
                case Step.Processes processes -> {}
                case Step.Operators operators -> operate(operators);
                case Step.Rollout rollout -> rollout(rollout);
            }
        } catch (IOException e) {
            out.println("step failed " + step + " " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void operate(Step.Operators step) throws InterruptedException {
        SettingsTrial trial = new SettingsTrial(admin, layout);
        settings.add(trial);
        trial.run(step.operators(), startMillis + millis(step.until()));
    }

    private void rollout(Step.Rollout step) throws IOException, InterruptedException {
        StoreClient store = new StoreClient(http, layout.storeUrl());
        RolloutTrial trial = new RolloutTrial(admin, store, layout, "move-1", scenario.bad());
        rollouts.add(trial);
        long endMillis = startMillis + millis(1) + LOOK_AFTER_END_MILLIS;
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

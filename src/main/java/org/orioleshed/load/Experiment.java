package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.load.Result.End;

/** Sends a scenario's load to a running fleet and reports the results. */
final class Experiment {
    private static final long READY_TIMEOUT_MILLIS = 60_000;
    private static final long READY_POLL_INTERVAL_MILLIS = 100;
    private static final long PROGRESS_INTERVAL_SECONDS = 5;
    private static final int SCHEDULER_THREADS = 2;
    private static final double WARM_UP_SECONDS = 4;

    private final FleetLayout layout;
    private final Scenario scenario;
    private final double seconds;
    private final long seed;
    private final PrintStream out;
    private final Http http = new Http();
    private final Balancer balancer;
    private final StepRunner stepRunner;
    private final LatencyHistograms tokenGaps = new LatencyHistograms();
    private final Queue<Result> results = new ConcurrentLinkedQueue<>();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService scheduler =
            Executors.newScheduledThreadPool(
                    SCHEDULER_THREADS, Thread.ofPlatform().daemon().factory());

    Experiment(FleetLayout layout, Scenario scenario, double seconds, long seed, PrintStream out) {
        this.layout = layout;
        this.scenario = scenario;
        this.seconds = seconds;
        this.seed = seed;
        this.out = out;
        this.balancer = new Balancer(http, layout.hosts());
        this.stepRunner = new StepRunner(http, layout, scenario, seconds, out);
    }

    /** Runs the experiment and returns its report. */
    ObjectNode run() throws IOException, InterruptedException {
        new StoreClient(http, layout.storeUrl()).prepare(layout);
        awaitReady();
        warmUp();
        List<PlannedRequest> plan = Arrivals.plan(scenario.mix(layout.deployment()), seconds, seed);
        out.printf(
                "scenario %s: %d requests in %.0f s, seed %d%n",
                scenario.name(), plan.size(), seconds, seed);
        long startNanos = System.nanoTime();
        stepRunner.schedule(scheduler);
        var progress =
                scheduler.scheduleAtFixedRate(
                        () -> printProgress(plan.size(), startNanos),
                        PROGRESS_INTERVAL_SECONDS,
                        PROGRESS_INTERVAL_SECONDS,
                        TimeUnit.SECONDS);
        send(plan, startNanos);
        progress.cancel(false);
        stepRunner.await();
        return report();
    }

    /** Sends a light load and discards its results, so that no cold process is measured. */
    private void warmUp() throws InterruptedException {
        List<Traffic> warmUpMix = Scenario.byName("steady").mix(layout.deployment());
        List<PlannedRequest> plan = Arrivals.plan(warmUpMix, WARM_UP_SECONDS, -seed);
        send(plan, System.nanoTime());
        long inTime = results.stream().filter(Result::inTime).count();
        out.printf("warm-up: %d of %d answered in full in time%n", inTime, plan.size());
        results.clear();
        tokenGaps.clear();
        out.println("started");
        out.flush();
    }

    private void awaitReady() throws InterruptedException {
        Thread.ofVirtual().name("balancer").start(balancer);
        long waitedMillis = 0;
        while (balancer.readyCount() < layout.hosts().size()) {
            if (waitedMillis > READY_TIMEOUT_MILLIS) {
                throw new IllegalStateException(
                        String.format(
                                "only %d of %d entry hosts are ready after %d ms",
                                balancer.readyCount(), layout.hosts().size(), waitedMillis));
            }
            Thread.sleep(READY_POLL_INTERVAL_MILLIS);
            waitedMillis += READY_POLL_INTERVAL_MILLIS;
        }
    }

    private void send(List<PlannedRequest> plan, long startNanos) throws InterruptedException {
        CountDownLatch pending = new CountDownLatch(plan.size());
        for (PlannedRequest request : plan) {
            long arrivalNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(request.atMillis());
            long waitNanos = arrivalNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
            var unused = callers.submit(() -> call(request, arrivalNanos, pending));
        }
        pending.await();
    }

    private void call(PlannedRequest request, long arrivalNanos, CountDownLatch pending) {
        try {
            results.add(
                    new Caller(http, balancer, tokenGaps, scheduler, request, arrivalNanos).call());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            out.println("unexpected error in caller of request " + request.tag() + " " + e);
            results.add(new Result(request, End.LOST, false, true, -1, List.of()));
        } finally {
            pending.countDown();
        }
    }

    private void printProgress(int planned, long startNanos) {
        long inTime = results.stream().filter(Result::inTime).count();
        out.printf(
                "%3d s: %d of %d requests ended, %d answered in full in time, %d hosts ready%n",
                TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos),
                results.size(),
                planned,
                inTime,
                balancer.readyCount());
        out.flush();
    }

    private ObjectNode report() throws IOException, InterruptedException {
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("scenario", scenario.name());
        json.put("deployment", layout.deployment().id());
        json.put("seconds", seconds);
        json.put("seed", seed);
        RunLog runLog = RunLog.read(http, layout.servers());
        json.setAll(new Report(new ArrayList<>(results), runLog).json(tokenGaps));
        var counts = http.get(layout.storeUrl() + "/standin/counts");
        json.put("storeCalls", counts.path("calls").asLong());
        stepRunner.report(json, runLog);
        return json;
    }

    /** Returns the result of each request. */
    List<Result> results() {
        return new ArrayList<>(results);
    }
}

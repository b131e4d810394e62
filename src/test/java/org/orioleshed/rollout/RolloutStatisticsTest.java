package org.orioleshed.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;

/**
 * Checks the outcomes of many simulated rollouts against fixed targets and prints a comparison with
 * {@link NaiveRollout}.
 */
public class RolloutStatisticsTest {
    private static final int GOOD_ROLLOUTS = Integer.getInteger("moves.good", 1_000);
    private static final int BAD_ROLLOUTS = Integer.getInteger("moves.bad", 1_000);
    private static final int THREADS = 3;

    @Test
    public void goodVersionsCompleteAndBadOnesAreRolledBack() throws Exception {
        List<RolloutSimulation.Result> results = runAll();
        int good = 0;
        int goodCompleted = 0;
        int bad = 0;
        int badCompleted = 0;
        double worstShare = 0;
        long late = 0;
        for (RolloutSimulation.Result result : results) {
            assertEquals(result.outcomes(), 1, "outcomes of one rollout");
            boolean completed = result.outcome() == RolloutState.COMPLETED;
            late += result.lateRequests();
            if (result.fault() == RolloutSimulation.Fault.NONE) {
                good++;
                goodCompleted += completed ? 1 : 0;
            } else {
                bad++;
                badCompleted += completed ? 1 : 0;
                worstShare =
                        Math.max(worstShare, (double) result.newRequests() / result.requests());
            }
            boolean unexpected = completed != (result.fault() == RolloutSimulation.Fault.NONE);
            if (unexpected) {
                print("unexpected outcome: %s", result);
            }
        }
        printByFault(results);
        print(
                "good=%d completed=%d bad=%d completed=%d worstShare=%.4f lateRequests=%d",
                good, goodCompleted, bad, badCompleted, worstShare, late);
        assertTrue(good - goodCompleted <= 0.01 * good, "good versions rolled back");
        assertTrue(badCompleted <= 0.001 * bad, "bad versions completed");
        assertTrue(worstShare <= 0.05, "share of a bad version: " + worstShare);
        assertEquals(late, 0, "requests to a bad version one second after a breaker tripped");
    }

    private static void printByFault(List<RolloutSimulation.Result> results) {
        for (RolloutSimulation.Fault fault : RolloutSimulation.Fault.values()) {
            long rollouts = 0;
            long completed = 0;
            long sent = 0;
            long naive = 0;
            for (RolloutSimulation.Result result : results) {
                if (result.fault() != fault) {
                    continue;
                }
                rollouts++;
                completed += result.outcome() == RolloutState.COMPLETED ? 1 : 0;
                sent += result.badRequests();
                naive += result.naiveBadRequests();
            }
            print(
                    "fault=%s moves=%d completed=%d faultyRequestsPerMove=%.1f naive=%.1f",
                    fault,
                    rollouts,
                    completed,
                    (double) sent / Math.max(1, rollouts),
                    (double) naive / Math.max(1, rollouts));
        }
    }

    private static void print(String format, Object... arguments) {
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    private static List<RolloutSimulation.Result> runAll()
            throws InterruptedException, ExecutionException {
        List<Future<RolloutSimulation.Result>> futures = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            for (int i = 0; i < GOOD_ROLLOUTS; i++) {
                long seed = i;
                futures.add(
                        threads.submit(
                                () ->
                                        new RolloutSimulation(seed, RolloutSimulation.Fault.NONE)
                                                .run()));
            }
            RolloutSimulation.Fault[] faults = RolloutSimulation.Fault.values();
            for (int i = 0; i < BAD_ROLLOUTS; i++) {
                long seed = 1_000_000L + i;
                RolloutSimulation.Fault fault = faults[1 + i % (faults.length - 1)];
                futures.add(threads.submit(() -> new RolloutSimulation(seed, fault).run()));
            }
            List<RolloutSimulation.Result> results = new ArrayList<>();
            for (Future<RolloutSimulation.Result> future : futures) {
                results.add(future.get());
            }
            return results;
        }
    }
}

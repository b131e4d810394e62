package org.orioleshed.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.rollout.RolloutEvent;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RunResult;
import org.testng.annotations.Test;

/**
 * Rollouts driven by the control cores of several hosts with one store. Guards against hosts that
 * end a rollout with different versions, also when the answer to a store write is lost.
 */
public class ControlRolloutsTest {
    private static final RouteId ROUTE = new RouteId("letters");
    private static final VersionId OLD = new VersionId("v1");
    private static final VersionId NEW = new VersionId("v2");
    private static final RolloutId ROLLOUT = new RolloutId("move-1");
    private static final long COMPLETE_BY_MILLIS = 60_000;
    private static final long STEP_MILLIS = 100;
    private static final int RUNS_PER_STEP = 20;
    private static final String TREE =
            "{\"routes\":{\"letters\":{\"model\":\"letters\"}},"
                    + "\"currentVersions\":{\"letters\":\"v1\"},"
                    + "\"servers\":{\"defaults\":{\"model\":\"letters\"},\"items\":{"
                    + "\"s1\":{\"domain\":\"domain-0\",\"address\":\"http://127.0.0.1:9\","
                    + "\"version\":\"v1\"},"
                    + "\"s2\":{\"domain\":\"domain-0\",\"address\":\"http://127.0.0.1:8\","
                    + "\"version\":\"v2\"}}}}";

    private static ControlFleet planned(long seed) {
        ControlFleet fleet = new ControlFleet(4, TREE, seed);
        fleet.runUntil(() -> fleet.allSee(4) && fleet.allHave(1), 20_000);
        CompletableFuture<RolloutWriteResult> answer = new CompletableFuture<>();
        RolloutRecord record =
                RolloutRecord.plan(
                        ROLLOUT,
                        new Target.Model(new ModelId("letters")),
                        OLD,
                        NEW,
                        List.of(ROUTE),
                        fleet.nowMillis(),
                        fleet.nowMillis() + COMPLETE_BY_MILLIS,
                        List.of(),
                        "litia",
                        "test");
        fleet.store.loseAnswers(1);
        RolloutWrite.Command command = new RolloutWrite.Command.Plan(record);
        fleet.host(0).events.add(new ControlEvent.RolloutWriteRequested(command, answer));
        fleet.runUntil(answer::isDone, 5_000);
        assertEquals(answer.join().getClass(), RolloutWriteResult.Written.class);
        return fleet;
    }

    private static boolean allServe(ControlFleet fleet, VersionId version) {
        return fleet.hosts.values().stream()
                .allMatch(
                        host ->
                                host.snapshot().splits().isEmpty()
                                        && version.equals(
                                                host.snapshot().currentVersions().get(ROUTE)));
    }

    /** Runs requests according to the traffic split for {@code millis}. */
    private static void serve(ControlFleet fleet, RunResult.Verdict ofNew, long millis) {
        for (long done = 0; done < millis; done += STEP_MILLIS) {
            for (ControlFleet.Host host : fleet.hosts.values()) {
                for (int i = 0; i < RUNS_PER_STEP; i++) {
                    run(host, ofNew, (double) i / RUNS_PER_STEP);
                }
            }
            fleet.runMillis(STEP_MILLIS);
        }
    }

    private static void run(ControlFleet.Host host, RunResult.Verdict ofNew, double draw) {
        VersionSplit split = host.snapshot().splits().get(ROUTE);
        boolean toNew = split != null && split.choose(draw).equals(NEW);
        RunResult result =
                new RunResult(
                        toNew ? ofNew : RunResult.Verdict.OK,
                        1_000,
                        100,
                        50,
                        100,
                        0,
                        0.5,
                        new Fingerprint(0, (long) (draw * RUNS_PER_STEP)));
        RolloutEvent observed =
                new RolloutEvent.Observed(
                        ROUTE, toNew ? NEW : OLD, new ServerId(toNew ? "s2" : "s1"), result);
        host.events.add(new ControlEvent.RolloutEventReceived(observed));
    }

    @Test
    public void goodVersionCompletesOnEveryHost() {
        ControlFleet fleet = planned(1);
        serve(fleet, RunResult.Verdict.OK, COMPLETE_BY_MILLIS + 1_000);
        assertTrue(allServe(fleet, NEW), fleet.host(0).snapshot().currentVersions().toString());
    }

    @Test
    public void failingVersionIsRolledBackOnEveryHost() {
        ControlFleet fleet = planned(2);
        serve(fleet, RunResult.Verdict.FAILED, COMPLETE_BY_MILLIS + 1_000);
        assertTrue(allServe(fleet, OLD), fleet.host(0).snapshot().currentVersions().toString());
    }

    @Test
    public void operatorRollsBackOnceAndAllHostsFollow() {
        ControlFleet fleet = planned(3);
        serve(fleet, RunResult.Verdict.OK, 5_000);
        RolloutWrite.Command command = new RolloutWrite.Command.RollBack(ROLLOUT, "litia", "no", 1);
        fleet.store.loseAnswers(1);
        CompletableFuture<RolloutWriteResult> first = new CompletableFuture<>();
        fleet.host(1).events.add(new ControlEvent.RolloutWriteRequested(command, first));
        fleet.runMillis(5_000);
        assertEquals(first.join().getClass(), RolloutWriteResult.Written.class);
        CompletableFuture<RolloutWriteResult> second = new CompletableFuture<>();
        fleet.host(2).events.add(new ControlEvent.RolloutWriteRequested(command, second));
        fleet.runMillis(5_000);
        assertEquals(second.join().getClass(), RolloutWriteResult.Decided.class);
        assertTrue(allServe(fleet, OLD));
    }
}

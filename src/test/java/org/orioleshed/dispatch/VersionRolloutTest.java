package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bad versions that are kept or get too many requests, and against good versions
 * that miss the deadline. Most tests simulate seeded traffic for an order of twelve seconds.
 */
public class VersionRolloutTest {
    private static final int SEEDS = 1_000;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;

    /** Fails if more than one simulation of all seeds matches {@code bad}. */
    private static void assertAtMostOne(
            RolloutSimulation.Scenario scenario, Predicate<RolloutSimulation> bad) {
        List<String> found = find(scenario, bad);
        assertTrue(found.size() <= 1, found.size() + " of " + SEEDS + ": " + found);
    }

    private static List<String> find(
            RolloutSimulation.Scenario scenario, Predicate<RolloutSimulation> wanted) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> new RolloutSimulation(scenario, seed).run())
                .filter(wanted)
                .map(
                        simulation ->
                                simulation.decidedMillis + " ms: " + simulation.rollout.evidence())
                .toList();
    }

    private static boolean isCompletedInTime(RolloutSimulation simulation) {
        return simulation.rollout.outcome() == RolloutOutcome.COMPLETED
                && simulation.decidedMillis <= RolloutSimulation.DURATION_MILLIS - 500;
    }

    private static boolean isKeptOrOverExposed(RolloutSimulation simulation) {
        int all = simulation.sentNew + simulation.sentOld;
        return simulation.rollout.outcome() != RolloutOutcome.TAKEN_BACK
                || simulation.sentNew > EXPOSE_SHARE * all + EXPOSE_SLACK;
    }

    @DataProvider
    Object[][] bad() {
        RolloutSimulation.Scenario baseline = RolloutSimulation.Scenario.BASELINE;
        return new Object[][] {
            {baseline.newFaults(0.1).oldFaults(0)},
            {baseline.newFaults(0.2).oldFaults(0.01)},
            {baseline.newFaults(0.3).oldFaults(0.01)},
            {baseline.newFaults(1).oldFaults(0.15)},
            {baseline.newFaults(0.5).oldFaults(0.15)},
            {baseline.newFaults(0.5).onOneRoute()},
            {baseline.slower(2)},
            {baseline.slower(3)},
            {baseline.slower(4)},
            {baseline.slower(8)},
            {baseline.slower(8).slowFraction(0.5)},
            {baseline.slower(4).withUnequalServers()},
            {baseline.slower(8).withUnequalServers()},
            {baseline.slower(8).slowFraction(0.5).withUnequalServers()},
            {baseline.slower(8).onOneRoute()},
            {baseline.slower(8).slowFraction(0.5).onOneRoute()}
        };
    }

    /** Operators tolerate one bad version in a thousand that is kept. */
    @Test(dataProvider = "bad")
    public void aBadVersionIsRolledBackAndGetsFewRequests(RolloutSimulation.Scenario scenario) {
        assertAtMostOne(scenario, VersionRolloutTest::isKeptOrOverExposed);
    }

    @DataProvider
    Object[][] good() {
        RolloutSimulation.Scenario baseline = RolloutSimulation.Scenario.BASELINE;
        return new Object[][] {{baseline}, {baseline.slower(0.5)}, {baseline.coldFor(2_000)}};
    }

    @Test(dataProvider = "good")
    public void aGoodVersionIsCompletedInTime(RolloutSimulation.Scenario scenario) {
        assertAtMostOne(scenario, simulation -> !isCompletedInTime(simulation));
    }

    @DataProvider
    Object[][] goodButHardToTell() {
        RolloutSimulation.Scenario baseline = RolloutSimulation.Scenario.BASELINE;
        return new Object[][] {
            {baseline.newFaults(0.02).oldFaults(0.02)},
            {baseline.newFaults(0.14).oldFaults(0.14)},
            {baseline.withUnequalServers()}
        };
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsCompletedInTime(RolloutSimulation.Scenario scenario) {
        assertAtMostOne(scenario, simulation -> !isCompletedInTime(simulation));
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsMostlyCompletedInTime(
            RolloutSimulation.Scenario scenario) {
        List<String> found = find(scenario, simulation -> !isCompletedInTime(simulation));
        assertTrue(found.size() <= SEEDS / 25, found.size() + " of " + SEEDS + ": " + found);
    }

    /** A version that turns bad once its share rises must not be completed. */
    @Test
    public void aVersionThatTurnsBadUnderLoadIsRolledBack() {
        RolloutSimulation.Scenario scenario =
                RolloutSimulation.Scenario.BASELINE.slower(8).slowFraction(0.5).worseUnderLoad();
        assertAtMostOne(
                scenario, simulation -> simulation.rollout.outcome() != RolloutOutcome.TAKEN_BACK);
    }

    @Test
    public void withoutEvidenceTheRolloutIsRolledBackBeforeTheDeadline() {
        VersionRollout rollout =
                new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 1).rollout;
        rollout.decide(10_900L * 1_000_000, 0, true);
        assertEquals(rollout.outcome(), RolloutOutcome.RUNNING);
        rollout.decide(11_100L * 1_000_000, 0, true);
        assertEquals(rollout.outcome(), RolloutOutcome.TAKEN_BACK);
    }

    @Test
    public void isNotCompletedWhileOldServersStillRunRequests() {
        RolloutSimulation simulation =
                new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 1);
        simulation.extraOldRuns = 5;
        simulation.runUntil(9_900);
        assertEquals(simulation.rollout.outcome(), RolloutOutcome.RUNNING);
        assertTrue(simulation.rollout.nextIsNew());
        simulation.extraOldRuns = 0;
        simulation.runFrom(9_900, 10_500);
        assertEquals(simulation.rollout.outcome(), RolloutOutcome.COMPLETED);
    }

    @Test
    public void aRecordedOutcomeIsFinal() {
        VersionRollout rollout =
                new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 1).rollout;
        rollout.settle(RolloutOutcome.COMPLETED);
        rollout.decide(20_000L * 1_000_000, 3, false);
        assertEquals(rollout.outcome(), RolloutOutcome.COMPLETED);
    }

    /**
     * A primary dies in the middle of a rollout; the next one counts the requests that hosts
     * report.
     */
    @Test
    public void theNextPrimaryCountsReportedExposure() {
        RolloutSimulation before =
                new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 1).runUntil(6_000);
        RolloutSimulation after = new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 2);
        HostId host = new HostId("h");
        after.rollout.applyReport(host, before.rollout.tallies());
        after.rollout.applyReport(host, before.rollout.tallies());
        after.runFrom(6_000, 7_000);
        int sentNew = before.sentNew + after.sentNew;
        int all = sentNew + before.sentOld + after.sentOld;
        assertTrue(sentNew <= EXPOSE_SHARE * all + EXPOSE_SLACK, sentNew + " of " + all);
    }

    /** A host that receives only a part of the answers must not judge by them alone. */
    @Test
    public void aHostWithoutExposureDoesNotAdvanceTheRollout() {
        VersionRollout rollout =
                new VersionRollout(
                        new RolloutSimulation(RolloutSimulation.Scenario.BASELINE, 1)
                                .rollout.order(),
                        new RolloutPolicy(0, 0),
                        0);
        PoolServer server = RolloutSimulation.server(true, 0);
        rollout.decide(3_000L * 1_000_000, 0, true);
        for (int i = 0; i < 300; i++) {
            rollout.recordSent(server, RolloutSimulation.ROUTES.getFirst());
            rollout.recordSlowness(server, RolloutSimulation.ROUTES.getFirst(), 1);
            rollout.recordEnd(
                    server, RolloutSimulation.ROUTES.getFirst(), RunReport.Outcome.ANSWERED);
        }
        rollout.decide(9_000L * 1_000_000, 0, true);
        assertFalse(rollout.nextIsNew());
    }
}

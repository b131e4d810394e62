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

/** Tests of {@link VersionRollout}: seeded traffic of an order of twelve seconds. */
public class VersionRolloutTest {
    private static final int SEEDS = 1_000;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;

    /** Fails when more than one trial of all is as it must not be. */
    private static void assertHardlyAny(RolloutTrial.Load load, Predicate<RolloutTrial> bad) {
        List<String> found = find(load, bad);
        assertTrue(found.size() <= 1, found.size() + " of " + SEEDS + ": " + found);
    }

    private static List<String> find(RolloutTrial.Load load, Predicate<RolloutTrial> wanted) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> new RolloutTrial(load, seed).play())
                .filter(wanted)
                .map(trial -> trial.decidedMillis + " ms: " + trial.rollout.evidence())
                .toList();
    }

    private static boolean isCompletedInTime(RolloutTrial trial) {
        return trial.rollout.outcome() == RolloutOutcome.COMPLETED
                && trial.decidedMillis <= RolloutTrial.DURATION_MILLIS - 500;
    }

    private static boolean isKeptOrOverExposed(RolloutTrial trial) {
        int all = trial.sentNew + trial.sentOld;
        return trial.rollout.outcome() != RolloutOutcome.TAKEN_BACK
                || trial.sentNew > EXPOSE_SHARE * all + EXPOSE_SLACK;
    }

    @DataProvider
    Object[][] bad() {
        RolloutTrial.Load usual = RolloutTrial.Load.USUAL;
        return new Object[][] {
            {usual.newFaults(0.1).oldFaults(0)},
            {usual.newFaults(0.2).oldFaults(0.01)},
            {usual.newFaults(0.3).oldFaults(0.01)},
            {usual.newFaults(1).oldFaults(0.15)},
            {usual.newFaults(0.5).oldFaults(0.15)},
            {usual.newFaults(0.5).onOneRoute()},
            {usual.slower(2)},
            {usual.slower(3)},
            {usual.slower(4)},
            {usual.slower(8)},
            {usual.slower(8).slowPart(0.5)},
            {usual.slower(4).unlikeServers()},
            {usual.slower(8).unlikeServers()},
            {usual.slower(8).slowPart(0.5).unlikeServers()},
            {usual.slower(8).onOneRoute()},
            {usual.slower(8).slowPart(0.5).onOneRoute()}
        };
    }

    /** One in a thousand may pass, as the operators would bear it. */
    @Test(dataProvider = "bad")
    public void aBadVersionIsTakenBackAndGetsFewRequests(RolloutTrial.Load load) {
        assertHardlyAny(load, VersionRolloutTest::isKeptOrOverExposed);
    }

    @DataProvider
    Object[][] good() {
        RolloutTrial.Load usual = RolloutTrial.Load.USUAL;
        return new Object[][] {{usual}, {usual.slower(0.5)}, {usual.coldFor(2_000)}};
    }

    @Test(dataProvider = "good")
    public void aGoodVersionIsCompletedInTime(RolloutTrial.Load load) {
        assertHardlyAny(load, trial -> !isCompletedInTime(trial));
    }

    @DataProvider
    Object[][] goodButHardToTell() {
        RolloutTrial.Load usual = RolloutTrial.Load.USUAL;
        return new Object[][] {
            {usual.newFaults(0.02).oldFaults(0.02)},
            {usual.newFaults(0.14).oldFaults(0.14)},
            {usual.unlikeServers()}
        };
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsCompletedInTime(RolloutTrial.Load load) {
        assertHardlyAny(load, trial -> !isCompletedInTime(trial));
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsMostlyCompletedInTime(RolloutTrial.Load load) {
        List<String> found = find(load, trial -> !isCompletedInTime(trial));
        assertTrue(found.size() <= SEEDS / 25, found.size() + " of " + SEEDS + ": " + found);
    }

    /** A version that turns bad once it gets more is not kept, nor given all. */
    @Test
    public void aVersionThatTurnsBadUnderLoadIsTakenBack() {
        RolloutTrial.Load load = RolloutTrial.Load.USUAL.slower(8).slowPart(0.5).underLoad();
        assertHardlyAny(load, trial -> trial.rollout.outcome() != RolloutOutcome.TAKEN_BACK);
    }

    @Test
    public void withoutEvidenceTheRolloutIsRolledBackBeforeTheDeadline() {
        VersionRollout rollout = new RolloutTrial(RolloutTrial.Load.USUAL, 1).rollout;
        rollout.decide(10_900L * 1_000_000, 0, true);
        assertEquals(rollout.outcome(), RolloutOutcome.RUNNING);
        rollout.decide(11_100L * 1_000_000, 0, true);
        assertEquals(rollout.outcome(), RolloutOutcome.TAKEN_BACK);
    }

    @Test
    public void isNotCompletedWhileOldServersStillRunRequests() {
        RolloutTrial trial = new RolloutTrial(RolloutTrial.Load.USUAL, 1);
        trial.oldRunsThatStay = 5;
        trial.playUntil(9_900);
        assertEquals(trial.rollout.outcome(), RolloutOutcome.RUNNING);
        assertTrue(trial.rollout.nextIsNew());
        trial.oldRunsThatStay = 0;
        trial.playFrom(9_900, 10_500);
        assertEquals(trial.rollout.outcome(), RolloutOutcome.COMPLETED);
    }

    @Test
    public void aRecordedOutcomeStands() {
        VersionRollout rollout = new RolloutTrial(RolloutTrial.Load.USUAL, 1).rollout;
        rollout.settle(RolloutOutcome.COMPLETED);
        rollout.decide(20_000L * 1_000_000, 3, false);
        assertEquals(rollout.outcome(), RolloutOutcome.COMPLETED);
    }

    /** A primary dies in the middle of a rollout; what hosts saw counts at the next one. */
    @Test
    public void theNextPrimaryGivesTheNewVersionNoMoreThanIsLeft() {
        RolloutTrial before = new RolloutTrial(RolloutTrial.Load.USUAL, 1).playUntil(6_000);
        RolloutTrial after = new RolloutTrial(RolloutTrial.Load.USUAL, 2);
        HostId host = new HostId("h");
        after.rollout.applyReport(host, before.rollout.toTell());
        after.rollout.applyReport(host, before.rollout.toTell());
        after.playFrom(6_000, 7_000);
        int sentNew = before.sentNew + after.sentNew;
        int all = sentNew + before.sentOld + after.sentOld;
        assertTrue(sentNew <= EXPOSE_SHARE * all + EXPOSE_SLACK, sentNew + " of " + all);
    }

    /** A host that sees a part of the answers must not judge by these alone. */
    @Test
    public void whoMayUseNothingOfTheNewVersionCompletesNothing() {
        VersionRollout rollout =
                new VersionRollout(
                        new RolloutTrial(RolloutTrial.Load.USUAL, 1).rollout.order(),
                        new RolloutPolicy(0, 0),
                        0);
        PoolServer server = RolloutTrial.server(true, 0);
        rollout.decide(3_000L * 1_000_000, 0, true);
        for (int i = 0; i < 300; i++) {
            rollout.sent(server, RolloutTrial.ROUTES.getFirst());
            rollout.took(server, RolloutTrial.ROUTES.getFirst(), 1);
            rollout.ended(server, RolloutTrial.ROUTES.getFirst(), RunReport.Outcome.ANSWERED);
        }
        rollout.decide(9_000L * 1_000_000, 0, true);
        assertFalse(rollout.nextIsNew());
    }
}

package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link VersionMove}: seeded traffic of an order of twelve seconds. */
public class VersionMoveTest {
    private static final int SEEDS = 1_000;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;

    /** Fails when more than one trial of all is as it must not be. */
    private static void assertHardlyAny(MoveTrial.Load load, Predicate<MoveTrial> bad) {
        List<String> found = find(load, bad);
        assertTrue(found.size() <= 1, found.size() + " of " + SEEDS + ": " + found);
    }

    private static List<String> find(MoveTrial.Load load, Predicate<MoveTrial> wanted) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> new MoveTrial(load, seed).play())
                .filter(wanted)
                .map(trial -> trial.decidedMillis + " ms: " + trial.move.evidence())
                .toList();
    }

    private static boolean isCompletedInTime(MoveTrial trial) {
        return trial.move.outcome() == MoveOutcome.COMPLETED
                && trial.decidedMillis <= MoveTrial.DURATION_MILLIS - 500;
    }

    private static boolean isKeptOrOverExposed(MoveTrial trial) {
        int all = trial.sentNew + trial.sentOld;
        return trial.move.outcome() != MoveOutcome.TAKEN_BACK
                || trial.sentNew > EXPOSE_SHARE * all + EXPOSE_SLACK;
    }

    @DataProvider
    Object[][] bad() {
        MoveTrial.Load usual = MoveTrial.Load.USUAL;
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
    public void aBadVersionIsTakenBackAndGetsFewRequests(MoveTrial.Load load) {
        assertHardlyAny(load, VersionMoveTest::isKeptOrOverExposed);
    }

    @DataProvider
    Object[][] good() {
        MoveTrial.Load usual = MoveTrial.Load.USUAL;
        return new Object[][] {{usual}, {usual.slower(0.5)}, {usual.coldFor(2_000)}};
    }

    @Test(dataProvider = "good")
    public void aGoodVersionIsCompletedInTime(MoveTrial.Load load) {
        assertHardlyAny(load, trial -> !isCompletedInTime(trial));
    }

    @DataProvider
    Object[][] goodButHardToTell() {
        MoveTrial.Load usual = MoveTrial.Load.USUAL;
        return new Object[][] {
            {usual.newFaults(0.02).oldFaults(0.02)},
            {usual.newFaults(0.14).oldFaults(0.14)},
            {usual.unlikeServers()}
        };
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsCompletedInTime(MoveTrial.Load load) {
        assertHardlyAny(load, trial -> !isCompletedInTime(trial));
    }

    @Test(dataProvider = "goodButHardToTell")
    public void aGoodVersionThatIsHardToTellIsMostlyCompletedInTime(MoveTrial.Load load) {
        List<String> found = find(load, trial -> !isCompletedInTime(trial));
        assertTrue(found.size() <= SEEDS / 25, found.size() + " of " + SEEDS + ": " + found);
    }

    /** A version that turns bad once it gets more is not kept, nor given all. */
    @Test
    public void aVersionThatTurnsBadUnderLoadIsTakenBack() {
        MoveTrial.Load load = MoveTrial.Load.USUAL.slower(8).slowPart(0.5).underLoad();
        assertHardlyAny(load, trial -> trial.move.outcome() != MoveOutcome.TAKEN_BACK);
    }

    @Test
    public void withoutEvidenceTheMoveIsTakenBackBeforeTheDeadline() {
        VersionMove move = new MoveTrial(MoveTrial.Load.USUAL, 1).move;
        move.decide(10_900L * 1_000_000, 0, true);
        assertEquals(move.outcome(), MoveOutcome.RUNNING);
        move.decide(11_100L * 1_000_000, 0, true);
        assertEquals(move.outcome(), MoveOutcome.TAKEN_BACK);
    }

    @Test
    public void isNotCompletedWhileOldServersStillRunRequests() {
        MoveTrial trial = new MoveTrial(MoveTrial.Load.USUAL, 1);
        trial.oldRunsThatStay = 5;
        trial.playUntil(9_900);
        assertEquals(trial.move.outcome(), MoveOutcome.RUNNING);
        assertTrue(trial.move.nextIsNew());
        trial.oldRunsThatStay = 0;
        trial.playFrom(9_900, 10_500);
        assertEquals(trial.move.outcome(), MoveOutcome.COMPLETED);
    }

    @Test
    public void aRecordedOutcomeStands() {
        VersionMove move = new MoveTrial(MoveTrial.Load.USUAL, 1).move;
        move.settle(MoveOutcome.COMPLETED);
        move.decide(20_000L * 1_000_000, 3, false);
        assertEquals(move.outcome(), MoveOutcome.COMPLETED);
    }

    /** A home dies in the middle of a move; what hosts saw counts at the next one. */
    @Test
    public void theNextHomeGivesTheNewVersionNoMoreThanIsLeft() {
        MoveTrial before = new MoveTrial(MoveTrial.Load.USUAL, 1).playUntil(6_000);
        MoveTrial after = new MoveTrial(MoveTrial.Load.USUAL, 2);
        HostId host = new HostId("h");
        after.move.recall(host, before.move.toTell());
        after.move.recall(host, before.move.toTell());
        after.playFrom(6_000, 7_000);
        int sentNew = before.sentNew + after.sentNew;
        int all = sentNew + before.sentOld + after.sentOld;
        assertTrue(sentNew <= EXPOSE_SHARE * all + EXPOSE_SLACK, sentNew + " of " + all);
    }

    /** A host that sees a part of the answers must not judge by these alone. */
    @Test
    public void whoMayUseNothingOfTheNewVersionCompletesNothing() {
        VersionMove move =
                new VersionMove(
                        new MoveTrial(MoveTrial.Load.USUAL, 1).move.order(),
                        new MovePolicy(0, 0),
                        0);
        PoolServer server = MoveTrial.server(true, 0);
        move.decide(3_000L * 1_000_000, 0, true);
        for (int i = 0; i < 300; i++) {
            move.sent(server, MoveTrial.ROUTES.getFirst());
            move.took(server, MoveTrial.ROUTES.getFirst(), 1);
            move.ended(server, MoveTrial.ROUTES.getFirst(), RunEnd.Outcome.ANSWERED);
        }
        move.decide(9_000L * 1_000_000, 0, true);
        assertFalse(move.nextIsNew());
    }
}

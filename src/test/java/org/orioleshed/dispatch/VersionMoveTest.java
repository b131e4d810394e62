package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link VersionMove}: seeded traffic of an order of twelve seconds. */
public class VersionMoveTest {
    private static final VersionId OLD = new VersionId("v1");
    private static final VersionId NEW = new VersionId("v2");
    private static final long DURATION_MILLIS = 12_000;
    private static final int REQUESTS_A_SECOND = 150;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;

    private static final class Trial {
        final VersionMove move =
                new VersionMove(
                        new MoveOrder(new ServiceId("s"), NEW, DURATION_MILLIS, 1),
                        MovePolicy.DEFAULT,
                        0);
        int sentNew;
        int sentOld;
        long decidedMillis = -1;

        /** Plays requests that end at once until a moment. */
        Trial play(long seed, double newFaults, double oldFaults, double newSlowness) {
            SplittableRandom random = new SplittableRandom(seed);
            int requests = (int) (DURATION_MILLIS * REQUESTS_A_SECOND / 1_000);
            for (int i = 0; i < requests; i++) {
                long millis = i * 1_000L / REQUESTS_A_SECOND;
                one(random, newFaults, oldFaults, newSlowness);
                move.decide(millis * 1_000_000, move.nextIsNew() ? 0 : 3, true);
                if (decidedMillis < 0 && move.outcome() != MoveOutcome.RUNNING) {
                    decidedMillis = millis;
                }
            }
            return this;
        }

        private void one(
                SplittableRandom random, double newFaults, double oldFaults, double newSlowness) {
            boolean isNew = move.nextIsNew();
            VersionId version = isNew ? NEW : OLD;
            sentNew += isNew ? 1 : 0;
            sentOld += isNew ? 0 : 1;
            move.sent(version);
            boolean fault = random.nextDouble() < (isNew ? newFaults : oldFaults);
            move.ended(
                    version,
                    fault ? RunEnd.Outcome.FAILED : RunEnd.Outcome.ANSWERED,
                    isNew ? newSlowness : 1);
        }
    }

    @DataProvider
    Object[][] bad() {
        return new Object[][] {
            {0.3, 0.01, 1.0}, {1.0, 0.15, 1.0}, {0.45, 0.15, 1.0}, {0.0, 0.0, 6.0}
        };
    }

    @Test(dataProvider = "bad")
    public void aBadVersionIsTakenBackSoonAndGetsFewRequests(
            double newFaults, double oldFaults, double slowness) {
        for (long seed = 0; seed < 50; seed++) {
            Trial trial = new Trial().play(seed, newFaults, oldFaults, slowness);
            assertEquals(trial.move.outcome(), MoveOutcome.TAKEN_BACK, "seed " + seed);
            int all = trial.sentNew + trial.sentOld;
            assertTrue(trial.sentNew <= EXPOSE_SHARE * all + EXPOSE_SLACK, "seed " + seed);
            assertFalse(trial.move.nextIsNew());
        }
    }

    @DataProvider
    Object[][] good() {
        return new Object[][] {{0.0, 0.0, 1.0}, {0.02, 0.02, 1.0}, {0.14, 0.14, 2.5}};
    }

    @Test(dataProvider = "good")
    public void aGoodVersionIsCompletedInTime(double newFaults, double oldFaults, double slowness) {
        int completed = 0;
        for (long seed = 0; seed < 50; seed++) {
            Trial trial = new Trial().play(seed, newFaults, oldFaults, slowness);
            boolean inTime =
                    trial.move.outcome() == MoveOutcome.COMPLETED
                            && trial.decidedMillis <= DURATION_MILLIS - 500;
            completed += inTime ? 1 : 0;
        }
        assertTrue(completed >= 48, "completed " + completed);
    }

    @Test
    public void withoutEvidenceTheMoveIsTakenBackBeforeTheDeadline() {
        VersionMove move = new Trial().move;
        move.decide(10_900L * 1_000_000, 0, true);
        assertEquals(move.outcome(), MoveOutcome.RUNNING);
        move.decide(11_100L * 1_000_000, 0, true);
        assertEquals(move.outcome(), MoveOutcome.TAKEN_BACK);
    }

    @Test
    public void isNotCompletedWhileOldServersStillRunRequests() {
        Trial trial = new Trial();
        for (int i = 0; i < 40; i++) {
            trial.move.sent(NEW);
            trial.move.ended(NEW, RunEnd.Outcome.ANSWERED, 1);
        }
        trial.move.decide(8_000L * 1_000_000, 5, true);
        assertEquals(trial.move.outcome(), MoveOutcome.RUNNING);
        assertTrue(trial.move.nextIsNew());
        trial.move.decide(8_500L * 1_000_000, 0, true);
        assertEquals(trial.move.outcome(), MoveOutcome.COMPLETED);
    }

    @Test
    public void aRecordedOutcomeStands() {
        VersionMove move = new Trial().move;
        move.settle(MoveOutcome.COMPLETED);
        move.decide(20_000L * 1_000_000, 3, false);
        assertEquals(move.outcome(), MoveOutcome.COMPLETED);
    }
}

package org.orioleshed.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link PolicyTrials}: the same loads against the product's decisions and simpler ones.
 */
public class PolicyTrialsTest {
    /** Returns each pattern with each simpler policy. */
    @DataProvider
    public static Object[][] simpler() {
        return new Object[][] {
            {LoadPattern.BURSTS, "engine-queues"},
            {LoadPattern.BURSTS, "two-choices"},
            {LoadPattern.BURSTS, "one-queue"},
            {LoadPattern.BURSTS, "strict-rank"},
            {LoadPattern.OVERLOAD, "engine-queues"},
            {LoadPattern.OVERLOAD, "two-choices"},
            {LoadPattern.OVERLOAD, "one-queue"},
            {LoadPattern.OVERLOAD, "strict-rank"},
        };
    }

    @Test(dataProvider = "simpler")
    public void callersGetMoreThanFromASimplerWay(LoadPattern pattern, String policy) {
        double own = PolicyTrials.play(pattern, "orioleshed", 1).worth();
        double other = PolicyTrials.play(pattern, policy, 1).worth();
        assertTrue(own > other, own + " against " + other);
    }

    @Test
    public void noMoreUrgentKindIsServedWorse() {
        TrialReport report = PolicyTrials.play(LoadPattern.OVERLOAD, "orioleshed", 1);
        assertTrue(report.byKind().get("long") >= report.byKind().get("short"));
        assertTrue(report.byKind().get("short") >= report.byKind().get("patient"));
    }

    @Test
    public void nobodyIsTurnedAwayWhileThereIsRoom() {
        TrialReport report = PolicyTrials.play(LoadPattern.STEADY, "orioleshed", 1);
        report.unserved().forEach((kind, part) -> assertEquals(part, 0.0, kind));
    }

    @Test
    public void theSameSeedPlaysTheSame() {
        assertEquals(
                PolicyTrials.play(LoadPattern.SLOW_ENGINES, "two-choices", 1),
                PolicyTrials.play(LoadPattern.SLOW_ENGINES, "two-choices", 1));
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void noSeedsAreAnError() {
        PolicyTrials.run(0, System.out);
    }

    @Test
    public void theTableHasARowForEachPatternAndPolicy() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        assertEquals(PolicyTrials.run(1, out).getSeriesMap().size(), 5);
        assertEquals(bytes.toString(StandardCharsets.UTF_8).lines().count(), 21);
    }
}

package org.orioleshed.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards that the policy of this project serves callers better than simpler policies. */
public class PolicyTrialsTest {
    /** Returns the patterns above capacity with each simpler policy. */
    @DataProvider
    public static Object[][] simplerPolicies() {
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

    @Test(dataProvider = "simplerPolicies")
    public void valueShareExceedsThatOfSimplerPolicy(LoadPattern pattern, String policy) {
        double own = PolicyTrials.runTrials(pattern, "orioleshed", 1).valueShare();
        double other = PolicyTrials.runTrials(pattern, policy, 1).valueShare();
        assertTrue(own > other, own + " against " + other);
    }

    @Test
    public void moreUrgentKindsHaveNoLowerValueShare() {
        TrialReport report = PolicyTrials.runTrials(LoadPattern.OVERLOAD, "orioleshed", 1);
        assertTrue(report.valueShareByKind().get("long") >= report.valueShareByKind().get("short"));
        assertTrue(
                report.valueShareByKind().get("short") >= report.valueShareByKind().get("patient"));
    }

    @Test
    public void allRequestsAreCompletedBelowCapacity() {
        TrialReport report = PolicyTrials.runTrials(LoadPattern.STEADY, "orioleshed", 1);
        report.unservedShare().forEach((kind, share) -> assertEquals(share, 0.0, kind));
    }

    @Test
    public void sameSeedGivesSameReport() {
        assertEquals(
                PolicyTrials.runTrials(LoadPattern.SLOW_ENGINES, "two-choices", 1),
                PolicyTrials.runTrials(LoadPattern.SLOW_ENGINES, "two-choices", 1));
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void zeroSeedsAreRejected() {
        PolicyTrials.run(0, System.out);
    }

    @Test
    public void tableHasRowForEachPatternAndPolicy() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        assertEquals(PolicyTrials.run(1, out).getSeriesMap().size(), 5);
        assertEquals(bytes.toString(StandardCharsets.UTF_8).lines().count(), 21);
    }
}

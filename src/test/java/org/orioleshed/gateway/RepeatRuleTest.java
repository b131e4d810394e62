package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Repeat;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RepeatRule}. */
public class RepeatRuleTest {
    private static RepeatRule rule(Repeat repeat, boolean resumable, int attempts) {
        return new RepeatRule(
                new CallRoute(
                        new RouteId("r"),
                        "h",
                        "/",
                        repeat,
                        resumable,
                        1_000,
                        100,
                        50,
                        attempts,
                        0,
                        true,
                        List.of(new CallRoute.Share(new ServiceId("s"), 1))));
    }

    @DataProvider
    Object[][] routes() {
        return new Object[][] {
            {Repeat.IDEMPOTENT, false, 2, true},
            {Repeat.IDEMPOTENT, false, 1, false},
            {Repeat.ONCE, false, 2, false},
            {Repeat.STREAM, false, 2, false},
            {Repeat.STREAM, true, 2, true},
        };
    }

    @Test(dataProvider = "routes")
    public void whatMayHaveRunIsSentAgainOnlyWhereTheRouteAllowsIt(
            Repeat repeat, boolean resumable, int attempts, boolean expected) {
        RepeatRule rule = rule(repeat, resumable, attempts);
        rule.sent();
        rule.ran();
        assertEquals(rule.mayTryAgain(false, 500), expected);
        assertTrue(rule.mayHaveRun());
    }

    @Test
    public void neverOnMoreServersThanAttempts() {
        RepeatRule rule = rule(Repeat.IDEMPOTENT, false, 2);
        rule.sent();
        rule.ran();
        rule.sent();
        rule.ran();
        assertFalse(rule.mayTryAgain(false, 500));
    }

    @Test
    public void whatProvablyHasNotRunMayBeSentAgainAFewTimes() {
        RepeatRule rule = rule(Repeat.ONCE, false, 1);
        int sends = 0;
        do {
            rule.sent();
            rule.provedNotRun();
            sends++;
        } while (rule.mayTryAgain(true, 500));
        assertEquals(sends, 4);
        assertFalse(rule.mayHaveRun());
    }

    @Test
    public void withoutTimeNothingIsSentAgain() {
        RepeatRule rule = rule(Repeat.IDEMPOTENT, false, 2);
        rule.sent();
        assertFalse(rule.mayTryAgain(false, 20));
        assertFalse(rule.mayTryAgain(true, 20));
    }
}

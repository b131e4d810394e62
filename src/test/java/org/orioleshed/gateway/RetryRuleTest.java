package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Repeatability;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RetryRule}: a request must not run twice unless its route allows it. */
public class RetryRuleTest {
    private static RetryRule rule(Repeatability repeatability, boolean resumable, int attempts) {
        return new RetryRule(
                new CallRoute(
                        new RouteId("r"),
                        "h",
                        "/",
                        repeatability,
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
            {Repeatability.IDEMPOTENT, false, 2, true},
            {Repeatability.IDEMPOTENT, false, 1, false},
            {Repeatability.ONCE, false, 2, false},
            {Repeatability.STREAM, false, 2, false},
            {Repeatability.STREAM, true, 2, true},
        };
    }

    @Test(dataProvider = "routes")
    public void retriesAPossibleRunOnlyIfTheRouteAllowsIt(
            Repeatability repeatability, boolean resumable, int attempts, boolean expected) {
        RetryRule rule = rule(repeatability, resumable, attempts);
        rule.sent();
        rule.ran();
        assertEquals(rule.mayRetry(false, 500), expected);
        assertTrue(rule.mayHaveRun());
    }

    @Test
    public void neverExceedsTheAttemptsOfTheRoute() {
        RetryRule rule = rule(Repeatability.IDEMPOTENT, false, 2);
        rule.sent();
        rule.ran();
        rule.sent();
        rule.ran();
        assertFalse(rule.mayRetry(false, 500));
    }

    @Test
    public void retriesProvablyNotRunRequestsALimitedNumberOfTimes() {
        RetryRule rule = rule(Repeatability.ONCE, false, 1);
        int sends = 0;
        do {
            rule.sent();
            rule.provedNotRun();
            sends++;
        } while (rule.mayRetry(true, 500));
        assertEquals(sends, 4);
        assertFalse(rule.mayHaveRun());
    }

    @Test
    public void doesNotRetryWithTooLittleTimeLeft() {
        RetryRule rule = rule(Repeatability.IDEMPOTENT, false, 2);
        rule.sent();
        assertFalse(rule.mayRetry(false, 20));
        assertFalse(rule.mayRetry(true, 20));
    }
}

package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}: retries must not multiply the load of failing servers. */
public class RetryBudgetTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    public void retriesStayWithinTheRatio() {
        RetryBudget budget = new RetryBudget(0.2, 10_000);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            long nowNanos = i * SECOND_NANOS / 100;
            budget.recordAttempt(nowNanos);
            if (budget.tryTake(0, nowNanos)) {
                retries++;
            }
        }
        assertTrue(retries <= 200, "retries " + retries);
        assertTrue(retries >= 100, "retries " + retries);
    }

    @Test
    public void theFixedShareAllowsRetriesWithoutAttempts() {
        RetryBudget budget = new RetryBudget(0.2, 10_000);
        assertTrue(budget.tryTake(7, 0));
        int more = 0;
        while (budget.tryTake(7, 0)) {
            more++;
        }
        assertEquals(more, 4);
        assertFalse(budget.tryTake(7, 9 * SECOND_NANOS));
        assertTrue(budget.tryTake(7, 11 * SECOND_NANOS));
    }
}

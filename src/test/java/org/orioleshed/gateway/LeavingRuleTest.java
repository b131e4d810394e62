package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what a host that was told to stop takes. */
public class LeavingRuleTest {
    private static final long GRACE_MILLIS = 8_000;
    private static final long BEGUN_NANOS = 5_000_000_000L;

    private static long nanos(long sinceMillis) {
        return BEGUN_NANOS + sinceMillis * 1_000_000;
    }

    private static LeavingRule leaving() {
        LeavingRule rule = new LeavingRule(GRACE_MILLIS);
        rule.begin(BEGUN_NANOS);
        return rule;
    }

    @Test
    public void aHostThatWasNotToldToStopTakesAll() {
        LeavingRule rule = new LeavingRule(GRACE_MILLIS);
        assertTrue(rule.takes(Long.MAX_VALUE, 60_000, BEGUN_NANOS));
        assertFalse(rule.isOver(Long.MAX_VALUE / 2));
    }

    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            // since, slow, limit, taken
            {0, 4_900, 12_000, true},
            {0, 8_000, 12_000, false},
            {0, Long.MAX_VALUE, 12_000, false},
            {2_399, 4_901, 12_000, true},
            {2_399, 4_902, 12_000, false},
            // The incident: sent when the balancer sent nothing new any more.
            {3_000, 4_200, 10_000, false},
            {3_000, Long.MAX_VALUE, 2_500, true},
            {6_700, 20, 600, true},
            {6_701, 20, 600, false},
            {7_300, 1, 1, false},
        };
    }

    @Test(dataProvider = "requests")
    public void takesWhatWillEndWhileItIsThere(
            long sinceMillis, long slowMillis, long limitMillis, boolean taken) {
        assertEquals(leaving().takes(slowMillis, limitMillis, nanos(sinceMillis)), taken);
    }

    @Test
    public void whoWaitsIsKeptWhileTimeIsLeftForASlowRun() {
        LeavingRule rule = leaving();
        assertTrue(rule.keeps(3_000, 10_000, nanos(4_300)));
        assertFalse(rule.keeps(3_000, 10_000, nanos(4_301)));
        assertTrue(rule.keeps(3_000, 200, nanos(4_301)));
    }

    @DataProvider
    Object[][] graces() {
        return new Object[][] {{30_000, 29_300}, {8_000, 7_300}, {3_000, 2_700}, {500, 450}};
    }

    @Test(dataProvider = "graces")
    public void leavesTheProcessTimeToEnd(long graceMillis, long endMillis) {
        LeavingRule rule = new LeavingRule(graceMillis);
        rule.begin(BEGUN_NANOS);
        assertFalse(rule.isOver(nanos(endMillis - 1)));
        assertTrue(rule.isOver(nanos(endMillis)));
    }
}

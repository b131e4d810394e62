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
        assertTrue(rule.takes(60_000, BEGUN_NANOS));
        assertFalse(rule.isOver(Long.MAX_VALUE / 2));
    }

    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            // since, limit, taken
            {0, 12_000, true},
            {2_399, 12_000, true},
            {2_400, 12_000, false},
            // The incident: sent when the balancer sent nothing new any more.
            {3_000, 10_000, false},
            {3_000, 2_500, true},
            {6_700, 600, true},
            {6_701, 600, false},
            {7_300, 1, false},
        };
    }

    @Test(dataProvider = "requests")
    public void takesWhatWillEndWhileItIsThere(long sinceMillis, long limitMillis, boolean taken) {
        assertEquals(leaving().takes(limitMillis, nanos(sinceMillis)), taken);
    }

    @DataProvider
    Object[][] graces() {
        return new Object[][] {
            // grace, until when the balancer still sends, end of service, end of the last answers
            {30_000, 2_400, 29_300, 29_650},
            {8_000, 2_400, 7_300, 7_650},
            {3_000, 1_500, 2_700, 2_850},
            {500, 250, 450, 475},
        };
    }

    @Test(dataProvider = "graces")
    public void fitsIntoTheGracePeriod(
            long graceMillis, long sentMillis, long endMillis, long lastMillis) {
        LeavingRule rule = new LeavingRule(graceMillis);
        rule.begin(BEGUN_NANOS);
        assertFalse(rule.isOver(nanos(endMillis - 1)));
        assertTrue(rule.isOver(nanos(endMillis)));
        assertTrue(rule.isStillSent(nanos(sentMillis - 1)));
        assertFalse(rule.isStillSent(nanos(sentMillis)));
        assertFalse(rule.isLast(nanos(lastMillis - 1)));
        assertTrue(rule.isLast(nanos(lastMillis)));
    }
}

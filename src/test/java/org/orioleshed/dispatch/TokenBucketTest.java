package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link TokenBucket}. */
public class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void givesNoMoreThanBurstAndRate() {
        TokenBucket bucket = new TokenBucket(100, 50, 50, 0);
        long given = 0;
        for (int tick = 0; tick <= 1_000; tick++) {
            if (bucket.take(5, 0, tick * SECOND / 100)) {
                given += 5;
            }
        }
        assertTrue(given <= 50 + 100 * 10, "given " + given);
        assertTrue(given >= 100 * 10, "given " + given);
    }

    @Test
    public void aRequestLargerThanTheBurstPassesWhenTheBucketIsFullAndIsOwed() {
        TokenBucket bucket = new TokenBucket(10, 20, 20, 0);
        assertTrue(bucket.take(100, 0, 0));
        assertFalse(bucket.take(1, 0, SECOND));
        assertTrue(bucket.millisUntil(20, 0) >= 9_000);
    }

    @Test
    public void whatIsKeptIsLeftForOthers() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.take(50, 0.4, 0));
        assertFalse(bucket.take(20, 0.4, 0));
        assertEquals(bucket.millisUntil(20, 0.4), 1_000);
        assertTrue(bucket.take(50, 0, 0));
    }

    @Test
    public void whatIsLeftGrowsWithTheShareOfTheQuota() {
        TokenBucket bucket = new TokenBucket(10, 100, 50, 0);
        bucket.limit(20, 200, 0);
        assertTrue(bucket.take(100, 0, 0));
        assertFalse(bucket.take(1, 0, 0));
    }

    @Test
    public void aDebtStaysAsItIs() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.take(150, 0, 0));
        bucket.limit(20, 200, 0);
        assertEquals(bucket.millisUntil(0, 0), 2_500);
    }

    @Test
    public void aLowerLimitHoldsAtOnce() {
        TokenBucket bucket = new TokenBucket(100, 100, 100, 0);
        bucket.limit(1, 10, 0);
        assertTrue(bucket.take(10, 0, 0));
        assertFalse(bucket.take(1, 0, 0));
        assertEquals(bucket.millisUntil(10, 0), 10_000);
    }

    @Test
    public void aClockThatStandsStillFillsNothing() {
        TokenBucket bucket = new TokenBucket(1_000, 10, 0, SECOND);
        assertFalse(bucket.take(1, 0, SECOND));
        assertFalse(bucket.take(1, 0, 0));
    }

    @Test
    public void whatIsHandedOverIsNotGivenOutHere() {
        TokenBucket bucket = new TokenBucket(10, 100, 60, 0);
        assertEquals(bucket.empty(SECOND), 0.7);
        assertFalse(bucket.take(1, 0, SECOND));
        bucket.addPart(0.5);
        assertTrue(bucket.take(50, 0, SECOND));
        assertFalse(bucket.take(1, 0, SECOND));
    }

    @Test
    public void aDebtIsHandedOverAndStays() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.take(150, 0, 0));
        assertEquals(bucket.empty(0), -0.5);
        assertEquals(bucket.millisUntil(0, 0), 5_000);
    }
}

package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against a {@link TokenBucket} that grants more than its rate and burst, including after a
 * change of the limit or a handover.
 */
public class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void grantsNoMoreThanBurstAndRate() {
        TokenBucket bucket = new TokenBucket(100, 50, 50, 0);
        long granted = 0;
        for (int tick = 0; tick <= 1_000; tick++) {
            if (bucket.tryTake(5, 0, tick * SECOND / 100)) {
                granted += 5;
            }
        }
        assertTrue(granted <= 50 + 100 * 10, "granted " + granted);
        assertTrue(granted >= 100 * 10, "granted " + granted);
    }

    @Test
    public void aRequestLargerThanTheBurstPassesWhenFullAndLeavesADebt() {
        TokenBucket bucket = new TokenBucket(10, 20, 20, 0);
        assertTrue(bucket.tryTake(100, 0, 0));
        assertFalse(bucket.tryTake(1, 0, SECOND));
        assertTrue(bucket.millisUntil(20, 0) >= 9_000);
    }

    @Test
    public void reservedUnitsAreLeftForOthers() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.tryTake(50, 0.4, 0));
        assertFalse(bucket.tryTake(20, 0.4, 0));
        assertEquals(bucket.millisUntil(20, 0.4), 1_000);
        assertTrue(bucket.tryTake(50, 0, 0));
    }

    @Test
    public void heldUnitsScaleWithTheBurst() {
        TokenBucket bucket = new TokenBucket(10, 100, 50, 0);
        bucket.setLimit(20, 200, 0);
        assertTrue(bucket.tryTake(100, 0, 0));
        assertFalse(bucket.tryTake(1, 0, 0));
    }

    @Test
    public void aDebtDoesNotScaleWithTheBurst() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.tryTake(150, 0, 0));
        bucket.setLimit(20, 200, 0);
        assertEquals(bucket.millisUntil(0, 0), 2_500);
    }

    @Test
    public void aLowerLimitAppliesAtOnce() {
        TokenBucket bucket = new TokenBucket(100, 100, 100, 0);
        bucket.setLimit(1, 10, 0);
        assertTrue(bucket.tryTake(10, 0, 0));
        assertFalse(bucket.tryTake(1, 0, 0));
        assertEquals(bucket.millisUntil(10, 0), 10_000);
    }

    @Test
    public void addsNothingWhenTheClockStandsStill() {
        TokenBucket bucket = new TokenBucket(1_000, 10, 0, SECOND);
        assertFalse(bucket.tryTake(1, 0, SECOND));
        assertFalse(bucket.tryTake(1, 0, 0));
    }

    @Test
    public void unitsHandedOverAreNoLongerGranted() {
        TokenBucket bucket = new TokenBucket(10, 100, 60, 0);
        assertEquals(bucket.empty(SECOND), 0.7);
        assertFalse(bucket.tryTake(1, 0, SECOND));
        bucket.addFraction(0.5);
        assertTrue(bucket.tryTake(50, 0, SECOND));
        assertFalse(bucket.tryTake(1, 0, SECOND));
    }

    @Test
    public void aDebtIsHandedOverAndRemains() {
        TokenBucket bucket = new TokenBucket(10, 100, 100, 0);
        assertTrue(bucket.tryTake(150, 0, 0));
        assertEquals(bucket.empty(0), -0.5);
        assertEquals(bucket.millisUntil(0, 0), 5_000);
    }
}

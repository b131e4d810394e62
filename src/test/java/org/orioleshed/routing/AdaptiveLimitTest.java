package org.orioleshed.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against limits that miss the latency targets, and against lowering the limit for latency
 * that fewer requests would not improve.
 */
public class AdaptiveLimitTest {
    private static final int SLOTS = 16;
    private static final long STEP_NANOS = 100_000_000L;

    /**
     * Simulates an engine under constant demand whose token gap grows with the number of running
     * requests.
     */
    private static AdaptiveLimit limitAfter(double baseMillis, double millisPerRun, int seconds) {
        AdaptiveLimit limit = new AdaptiveLimit(RoutingLimits.DEFAULTS, SLOTS);
        for (long now = 0; now < seconds * 1_000_000_000L; now += STEP_NANOS) {
            int running = limit.current();
            limit.recordLoad(running, true);
            for (int i = 0; i < running * 3; i++) {
                limit.recordGap((long) (1_000 * (baseMillis + millisPerRun * running)));
            }
            limit.tick(now);
        }
        return limit;
    }

    @DataProvider
    Object[][] engines() {
        return new Object[][] {{20, 2, 16}, {20, 10, 5}, {40, 20, 1}};
    }

    @Test(dataProvider = "engines")
    public void convergesToALimitThatMeetsTheTarget(double base, double perRun, int maxExpected) {
        int limit = limitAfter(base, perRun, 120).current();
        assertTrue(limit <= maxExpected + 1, "limit " + limit);
        assertTrue(limit >= 1 && limit <= SLOTS, "limit " + limit);
        assertTrue(maxExpected < SLOTS || limit == SLOTS, "limit " + limit);
    }

    @Test
    public void engineThatMissesTheTargetWhenIdleKeepsMoreThanOneSlot() {
        assertTrue(limitAfter(120, 5, 120).current() > 1);
    }

    @Test
    public void longPromptsDoNotLowerTheLimit() {
        AdaptiveLimit limit = new AdaptiveLimit(RoutingLimits.DEFAULTS, SLOTS);
        limit.tick(0);
        limit.recordLoad(4, true);
        for (int i = 0; i < 50; i++) {
            limit.recordGap(20_000);
            limit.recordFirstToken(5_000_000, 4_800_000);
        }
        limit.tick(600_000_000L);
        assertEquals(limit.current(), SLOTS);
    }

    @Test
    public void lateFirstTokensLowerTheLimit() {
        AdaptiveLimit limit = new AdaptiveLimit(RoutingLimits.DEFAULTS, SLOTS);
        limit.tick(0);
        limit.recordLoad(SLOTS, true);
        for (int i = 0; i < 50; i++) {
            limit.recordGap(20_000);
            limit.recordFirstToken(5_000_000, 100_000);
        }
        limit.tick(600_000_000L);
        assertTrue(limit.current() < SLOTS);
    }
}

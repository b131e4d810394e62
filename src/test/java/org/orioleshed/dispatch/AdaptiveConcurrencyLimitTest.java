package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Change;
import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Event;
import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Timing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link AdaptiveConcurrencyLimit}, one event at a time. */
public class AdaptiveConcurrencyLimitTest {
    private static final int SLOTS = 6;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();
    private long nowMillis;

    private static AdaptiveConcurrencyLimitTest begin() {
        return new AdaptiveConcurrencyLimitTest();
    }

    private Change unavailable(long sentMillis, boolean silent) {
        return apply(new Event.Unavailable(sentMillis * NANOS_PER_MILLI, silent));
    }

    private Change responded(long sentMillis, Timing timing) {
        return apply(new Event.Responded(sentMillis * NANOS_PER_MILLI, timing));
    }

    private Change apply(Event event) {
        return limit.on(nowMillis * NANOS_PER_MILLI, event, SLOTS);
    }

    private boolean isPausing() {
        return limit.isPausing(nowMillis * NANOS_PER_MILLI);
    }

    /** Guards against a server without a fault that gets fewer requests than it has slots. */
    @Test
    public void isUnlimitedUntilAFault() {
        AdaptiveConcurrencyLimitTest test = begin();
        test.responded(0, Timing.LATE);
        test.apply(new Event.Failed(0));
        assertEquals(test.limit.limit(), Integer.MAX_VALUE);
    }

    /** Guards against a flood of requests to a server that is still unavailable. */
    @Test
    public void givesOneTrialRequestAfterAPause() {
        AdaptiveConcurrencyLimitTest test = begin();
        assertEquals(test.unavailable(0, false), Change.BEGUN);
        assertEquals(test.limit.limit(), 1);
        assertTrue(test.isPausing());
        test.nowMillis = 251;
        assertFalse(test.isPausing());
    }

    /** Guards against a recovered server that is left idle for a fixed time. */
    @Test
    public void endsAfterOneTimelyResponseForEachFurtherSlot() {
        AdaptiveConcurrencyLimitTest test = begin();
        test.unavailable(0, false);
        test.nowMillis = 100;
        for (int responses = 1; responses < SLOTS - 1; responses++) {
            assertEquals(test.responded(50, Timing.TIMELY), Change.NONE);
            assertEquals(test.limit.limit(), responses + 1);
        }
        assertEquals(test.responded(50, Timing.TIMELY), Change.ENDED);
        assertFalse(test.limit.isPaced());
    }

    /** Guards against a server without a trial request because it started only now. */
    @Test
    public void aStartedServerGetsItsTrialAtOnce() {
        AdaptiveConcurrencyLimitTest test = begin();
        assertEquals(test.apply(new Event.Started()), Change.BEGUN);
        assertEquals(test.limit.limit(), 1);
        assertFalse(test.isPausing());
    }

    /** Guards against counting one crash once for each of the runs that it ended. */
    @Test
    public void theOtherRunsOfAFaultDoNotLengthenThePause() {
        AdaptiveConcurrencyLimitTest test = begin();
        test.nowMillis = 10;
        test.unavailable(0, false);
        test.nowMillis = 40;
        for (int run = 0; run < SLOTS; run++) {
            assertEquals(test.unavailable(5, false), Change.NONE);
        }
        test.nowMillis = 10 + 251;
        assertFalse(test.isPausing());
    }

    /** Guards against trial requests that fail at full rate while a server stays down. */
    @Test
    public void thePauseDoublesWithEachFailedTrialUpToALimit() {
        AdaptiveConcurrencyLimitTest test = begin();
        test.unavailable(0, false);
        for (int trial = 0; trial < 10; trial++) {
            test.nowMillis += 1_000;
            test.unavailable(test.nowMillis - 1, false);
        }
        test.nowMillis += 4_000 / SLOTS - 1;
        assertTrue(test.isPausing());
        test.nowMillis += 2;
        assertFalse(test.isPausing());
    }

    @DataProvider
    Object[][] reductions() {
        return new Object[][] {
            {new Event.Failed(60 * NANOS_PER_MILLI)},
            {new Event.Responded(60 * NANOS_PER_MILLI, Timing.LATE)},
        };
    }

    /** Guards against a flood that continues although the server fails or slows down under it. */
    @Test(dataProvider = "reductions")
    public void halvesTheWindowOncePerRound(Event event) {
        AdaptiveConcurrencyLimitTest test = begin();
        test.unavailable(0, false);
        test.nowMillis = 100;
        for (int responses = 0; responses < 3; responses++) {
            test.responded(50, Timing.TIMELY);
        }
        assertEquals(test.limit.limit(), 4);
        assertEquals(test.apply(event), Change.DECREASED);
        assertEquals(test.apply(event), Change.NONE);
        assertEquals(test.limit.limit(), 2);
    }

    /** Guards against repeated crashes at the same concurrency at a constant rate. */
    @Test
    public void needsMoreResponsesAfterEachCrashAtAWindow() {
        AdaptiveConcurrencyLimitTest test = begin();
        test.unavailable(0, false);
        int previous = 0;
        for (int crash = 0; crash < 4; crash++) {
            int responses = 0;
            while (test.limit.limit() < 4) {
                test.nowMillis += 100;
                test.responded(test.nowMillis - 50, Timing.TIMELY);
                responses++;
            }
            assertTrue(responses > previous, "crash " + crash + ": " + responses);
            previous = responses;
            assertEquals(test.unavailable(test.nowMillis - 1, false), Change.DECREASED);
            assertEquals(test.limit.limit(), 1);
        }
    }

    @DataProvider
    Object[][] olderResponses() {
        return new Object[][] {
            {true, Change.SUSPICION_ENDED},
            {false, Change.NONE},
        };
    }

    /**
     * Guards against a server that is treated as recovering although it only paused: a response on
     * a run older than the fault shows that. After a crash such a response may be a report that
     * arrives late.
     */
    @Test(dataProvider = "olderResponses")
    public void aResponseOlderThanASilenceEndsThePacing(boolean silent, Change expected) {
        AdaptiveConcurrencyLimitTest test = begin();
        test.nowMillis = 1_000;
        test.unavailable(100, silent);
        test.nowMillis = 1_100;
        assertEquals(test.responded(90, Timing.LATE), expected);
        assertEquals(test.limit.isPaced(), !silent);
        assertFalse(test.isPausing());
    }
}

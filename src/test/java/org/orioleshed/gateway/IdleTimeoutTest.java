package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when idle connections may be closed while their limit changes. */
public class IdleTimeoutTest {
    private static final long CHANGE_MILLIS = 2_000;

    /** The limit at the beginning, the later ones, and for how long the connection is kept. */
    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {15_000, new long[] {}, 17_000},
            {15_000, new long[] {500}, 17_000},
            {500, new long[] {15_000}, 17_000},
            {500, new long[] {15_000, 500}, 17_000},
            {500, new long[] {400, 300}, 2_500},
        };
    }

    /** Guards against the close of a connection that its caller may still use. */
    @Test(dataProvider = "limits")
    public void longestLimitOfTheIdleTimeCounts(
            long firstMillis, long[] laterMillis, long keptMillis) {
        IdleTimeout timeout = new IdleTimeout(CHANGE_MILLIS);
        timeout.begin(nanos(100), firstMillis);
        for (long millis : laterMillis) {
            timeout.recordLimit(millis);
        }
        assertEquals(timeout.isOver(nanos(100 + keptMillis)), false);
        assertEquals(timeout.isOver(nanos(101 + keptMillis)), true);
    }

    @Test
    public void limitsOfEarlierIdleTimesDoNotCount() {
        IdleTimeout timeout = new IdleTimeout(CHANGE_MILLIS);
        timeout.begin(nanos(0), 15_000);
        timeout.begin(nanos(1_000), 500);
        assertEquals(timeout.isOver(nanos(3_501)), true);
    }

    @Test
    public void useWithoutARequestStartsTheIdleTimeAnew() {
        IdleTimeout timeout = new IdleTimeout(CHANGE_MILLIS);
        timeout.begin(nanos(0), 500);
        timeout.restart(nanos(2_000));
        assertEquals(timeout.isOver(nanos(4_500)), false);
        assertEquals(timeout.idleMillis(nanos(4_500)), 2_500);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

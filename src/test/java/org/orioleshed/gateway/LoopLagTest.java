package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an event loop's polls show of the time that input waited. */
public class LoopLagTest {
    private static final long MILLI = 1_000_000;

    private LoopLag lag;

    @BeforeMethod
    public void create() {
        lag = new LoopLag(0);
    }

    private void poll(long beginMillis, long timeoutMillis, long endMillis) {
        lag.pollBegins(beginMillis * MILLI, timeoutMillis * MILLI);
        lag.pollEnds(endMillis * MILLI);
    }

    /** Guards against an idle loop that looks late because it waited for input. */
    @Test
    public void waitingForInputIsNoLag() {
        poll(1, 100, 90);
        assertEquals(lag.lagNanos(), MILLI);
        assertFalse(lag.isLate(91 * MILLI));
    }

    @Test
    public void workBetweenPollsIsLag() {
        poll(80, 0, 80);
        assertEquals(lag.lagNanos(), 80 * MILLI);
        assertTrue(lag.isLate(80 * MILLI));
        poll(81, 0, 81);
        assertTrue(lag.isLate(100 * MILLI), "input that waited may not all be handled");
        poll(131, 0, 131);
        assertFalse(lag.isLate(131 * MILLI));
    }

    /** Guards against a thread without processor time that looks as if it waited for input. */
    @Test
    public void pollThatReturnsAfterItsDeadlineIsLag() {
        poll(0, 20, 720);
        assertEquals(lag.lagNanos(), 700 * MILLI);
        assertTrue(lag.isLate(720 * MILLI));
    }

    @Test
    public void inputMayWaitSinceTheLastPoll() {
        poll(0, 0, 0);
        assertEquals(lag.unreadNanos(51 * MILLI), 51 * MILLI);
        assertTrue(lag.isLate(51 * MILLI));
    }

    /** Guards against connections of one burst that look new because they were accepted late. */
    @Test
    public void connectionsBeyondOnePollWaitedInTheBacklog() {
        AcceptBacklog backlog = new AcceptBacklog(2);
        assertFalse(backlog.accept(1));
        assertFalse(backlog.accept(1));
        assertTrue(backlog.accept(2));
        assertFalse(backlog.accept(3));
        assertFalse(backlog.accept(5));
        assertFalse(backlog.accept(5));
        assertFalse(backlog.accept(9), "the polls between them accepted none");
    }
}

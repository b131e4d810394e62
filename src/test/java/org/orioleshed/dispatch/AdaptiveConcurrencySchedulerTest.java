package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.Set;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the pacing of servers by {@link Scheduler}. */
public class AdaptiveConcurrencySchedulerTest {
    private static final PacingPolicy ON = new PacingPolicy(true, 4_000);
    private static final long WALL_MILLIS = 1_000_000;

    @DataProvider
    Object[][] starts() {
        return new Object[][] {
            {ON, WALL_MILLIS - 1_000, 1},
            {ON, WALL_MILLIS + 1_000, 1},
            {ON, WALL_MILLIS - 5_000, 4},
            {ON, 0, 4},
            {PacingPolicy.OFF, WALL_MILLIS - 1_000, 4},
        };
    }

    /** Guards against a flood of a new server, and against pacing where it is not called for. */
    @Test(dataProvider = "starts")
    public void onlyAServerThatStartedRecentlyIsPaced(
            PacingPolicy policy, long startMillis, long grants) {
        SchedulerFixture fixture = new SchedulerFixture(policy).wallClock(WALL_MILLIS);
        fixture.serverWithStart("a", 4, startMillis);
        for (int run = 1; run <= 4; run++) {
            fixture.request(run, 0);
        }
        assertEquals(fixture.grantsOf("a"), grants);
        assertEquals(fixture.scheduler.pacedServers(), grants == 4 ? 0 : 1);
    }

    /** Guards against a window that does not rise while the first responses are in time. */
    @Test
    public void firstEventsRaiseTheWindow() {
        SchedulerFixture fixture = new SchedulerFixture(ON).wallClock(WALL_MILLIS);
        fixture.serverWithStart("a", 4, WALL_MILLIS - 1).request(1, 0).first(1, 60);
        for (int run = 2; run <= 4; run++) {
            fixture.request(run, 0);
        }
        assertEquals(fixture.grantsOf("a"), 2);
        fixture.first(2, 60).first(3, 60).advance(1);
        assertEquals(fixture.grantsOf("a"), 3);
        fixture.first(3, 60).advance(1);
        assertEquals(fixture.grantsOf("a"), 4);
        assertEquals(fixture.notes("pacing_begun").size(), 1);
        assertEquals(fixture.notes("pacing_ended").size(), 1);
    }

    /** Guards against a pool that stalls when all of its servers recover at the same time. */
    @Test
    public void eachRecoveringServerGetsItsTrialRequest() {
        SchedulerFixture fixture = new SchedulerFixture(ON).server("a", 2).server("b", 2);
        for (int run = 1; run <= 4; run++) {
            fixture.request(run, SchedulerFixture.requestOf(run, 10_000, Set.of()));
        }
        for (int run = 1; run <= 4; run++) {
            fixture.end(run, Outcome.UNREACHABLE);
        }
        for (int run = 5; run <= 6; run++) {
            fixture.request(run, SchedulerFixture.requestOf(run, 10_000, Set.of()));
            assertNull(fixture.grantedServer(run));
        }
        fixture.advance(251);
        assertEquals(fixture.grantsOf("a"), 3);
        assertEquals(fixture.grantsOf("b"), 3);
        assertNotNull(fixture.grantedServer(5));
        assertNotNull(fixture.grantedServer(6));
        assertEquals(fixture.scheduler.pacedServers(), 2);
    }

    /** Guards against a changed backoff where servers are not paced. */
    @Test
    public void withoutPacingAServerIsFullyUsedAfterTheBackoff() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 2).request(1, 0);
        fixture.end(1, Outcome.UNREACHABLE).request(2, 0).request(3, 0).advance(249);
        assertEquals(fixture.grantsOf("a"), 1);
        fixture.advance(2);
        assertEquals(fixture.grantsOf("a"), 3);
    }

    /** Guards against a restarted server that forgets at which concurrency it crashed. */
    @Test
    public void aRestartKeepsTheWindowOfEarlierCrashes() {
        SchedulerFixture fixture = new SchedulerFixture(ON).wallClock(WALL_MILLIS);
        fixture.serverWithStart("a", 6, WALL_MILLIS - 1_000);
        fixture.request(1, 0).first(1, 60).request(2, 0).first(2, 60).request(3, 0);
        fixture.end(3, Outcome.BROKEN);
        assertEquals(fixture.notes("pacing_decreased").size(), 1);
        fixture.end(1, Outcome.BROKEN).end(2, Outcome.BROKEN);
        fixture.serverWithStart("a", 6, WALL_MILLIS - 1);
        for (int run = 4; run <= 9; run++) {
            fixture.request(run, 0);
        }
        fixture.first(4, 60).advance(1).first(5, 60).advance(1);
        assertEquals(fixture.grantsOf("a"), 5);
    }
}

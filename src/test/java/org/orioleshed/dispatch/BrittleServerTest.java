package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.stream.IntStream;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against crashes of brittle servers by too many rejections. */
public class BrittleServerTest {
    private static final StatedLimit.Rate FOUR = new StatedLimit.Rate(4);

    private static SchedulerFixture first(SchedulerFixture fixture, int run, StatedLimit brittle) {
        return fixture.send(
                new DispatchEvent.First(SchedulerFixture.key(run), 50, StatedLimit.NONE, brittle));
    }

    private static SchedulerFixture brittle(StatedLimit stated) {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 20).request(1, 0);
        return first(fixture, 1, stated).end(1, Outcome.ANSWERED);
    }

    private static int count(SchedulerFixture fixture) {
        return fixture.scheduler.limitCounts(0).brittle();
    }

    @DataProvider
    public static Object[][] rejections() {
        return new Object[][] {
            {0.0, 1, 1}, {0.5, 1, 1}, {1.0, 1, 1}, {4.0, 2, 2}, {9.7, 5, 5}, {1e18, 15, 20}
        };
    }

    /** Guards against a server that gets requests until its rejections crash it. */
    @Test(dataProvider = "rejections")
    public void sendingStopsAtHalfOfTheStatedRejections(double stated, int least, int most) {
        SchedulerFixture fixture = brittle(new StatedLimit.Rate(stated));
        int sent = 0;
        for (int run = 2; run <= 20; run++) {
            fixture.request(run, 0);
            if (fixture.grantedServer(run) != null) {
                sent++;
                fixture.end(run, Outcome.REJECTED);
            }
            fixture.advance(50);
        }
        assertTrue(sent >= least && sent <= most, sent + " sent");
        fixture.advance(1_100).request(100, 0);
        assertTrue(fixture.grantsOf("a") > sent + 1, "sent nothing after the window");
    }

    /** Guards against a statement that can't be read, which must limit nothing. */
    @Test
    public void anUnknownStatementStatesNothing() {
        assertEquals(count(brittle(StatedLimit.UNKNOWN)), 0);
        assertEquals(count(brittle(StatedLimit.NONE)), 0);
    }

    @DataProvider
    public static Object[][] crashes() {
        return new Object[][] {{Outcome.BROKEN, 1L}, {Outcome.UNREACHABLE, 1L}, {null, 2L}};
    }

    /** Guards against a burst on all slots of a server that comes back after a crash. */
    @Test(dataProvider = "crashes")
    public void aServerThatComesBackGetsOneRequestThenMore(Outcome crash, long startMillis) {
        SchedulerFixture fixture = brittle(FOUR);
        if (crash != null) {
            fixture.request(2, 0).end(2, crash);
        }
        fixture.serverWithStart("a", 20, startMillis).advance(1_000);
        long before = fixture.grantsOf("a");
        IntStream.range(10, 20).forEach(run -> fixture.request(run, 0));
        assertEquals(fixture.grantsOf("a"), before + 1);
        fixture.end((int) (long) fixture.granted().getLast(), Outcome.ANSWERED);
        assertEquals(fixture.grantsOf("a"), before + 3);
    }

    /** Guards against an answer that is older than the statement and must not end the state. */
    @Test
    public void onlyAnAnswerToALaterRequestEndsTheState() {
        SchedulerFixture fixture =
                new SchedulerFixture().server("a", 20).request(1, 0).request(2, 0).advance(10);
        first(fixture, 1, FOUR);
        first(fixture, 2, StatedLimit.NONE);
        fixture.advance(10).request(3, 0).end(3, Outcome.TIMED_OUT);
        assertEquals(count(fixture), 1);
        first(fixture.advance(5_000).request(4, 0), 4, StatedLimit.NONE);
        assertEquals(count(fixture), 0);
        assertEquals(fixture.notes("server_brittle").size(), 1);
        assertEquals(fixture.notes("server_not_brittle").size(), 1);
    }

    /** Guards against hosts without a primary that together exceed a server's slots. */
    @Test
    public void asManyHostsAsSlotsUseAServerWithOneRequestEach() {
        var hosts = IntStream.range(0, 30).mapToObj(i -> new HostId("10.0.0." + i)).toList();
        int using = 0;
        for (HostId host : hosts) {
            KnownHosts known = new KnownHosts(Optional.of(host), hosts, hosts, 30);
            SchedulerFixture fixture =
                    new SchedulerFixture(Quotas.Role.FALLBACK)
                            .server("a", 6)
                            .send(new DispatchEvent.ShareChanged(1, 1, known))
                            .send(new DispatchEvent.ServerBrittle(new ServerId("a"), 1, FOUR))
                            .request(1, 0)
                            .request(2, 0);
            using += fixture.grantedServer(1) == null ? 0 : 1;
            assertNull(fixture.grantedServer(2));
        }
        assertEquals(using, 6);
    }

    /** Guards against a fallback that knows no hosts and uses a server together with all others. */
    @Test
    public void aFallbackWithoutKnownHostsLeavesABrittleServerAlone() {
        SchedulerFixture fixture = new SchedulerFixture(Quotas.Role.FALLBACK).server("a", 6);
        assertNotNull(fixture.request(1, 0).grantedServer(1));
        fixture.send(new DispatchEvent.ServerBrittle(new ServerId("a"), 1, FOUR));
        assertNull(fixture.end(1, Outcome.ANSWERED).request(2, 0).grantedServer(2));
    }
}

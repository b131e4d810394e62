package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchEvent.ServerCold.Source;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against crashes of cold servers by too many requests: counts what each server is sent in
 * any second, under a load that far exceeds what it accepts while it has free slots.
 */
public class ColdServerTest {
    private static final int SLOTS = 64;
    private static final long STEP_MILLIS = 10;
    private static final double PER_SECOND = 12;
    private static final ColdBound BOUND = new ColdBound(1.5, 5);
    private static final int MAX_PER_SECOND = 23;
    private static final ServerId A = new ServerId("a");

    private final List<Long> sentMillis = new ArrayList<>();
    private long nowMillis;
    private int run;

    @BeforeMethod
    public void reset() {
        sentMillis.clear();
        nowMillis = 0;
        run = 0;
    }

    private static SchedulerFixture fixture(Quotas.Role role) {
        Pool pool = new Pool(SchedulerFixture.SERVICE, true, 100_000_000, 7, 3_000, PER_SECOND);
        return new SchedulerFixture(role, BOUND)
                .send(
                        new DispatchEvent.LimitsChanged(
                                Map.of(SchedulerFixture.SERVICE, pool), Map.of()));
    }

    private static SchedulerFixture primary() {
        return fixture(Quotas.Role.PRIMARY).server("a", SLOTS);
    }

    private static DispatchEvent cold(long startMillis, long leftMillis, Source source) {
        return new DispatchEvent.ServerCold(A, startMillis, leftMillis, 0, source);
    }

    private static SchedulerFixture coldPrimary() {
        return primary().send(cold(1, 10_000, Source.ENTRY));
    }

    /** Demands requests for a time and records when those to server a are sent. */
    private void demand(SchedulerFixture fixture, long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            long before = fixture.grantsOf("a");
            int granted = fixture.granted().size();
            fixture.advance(STEP_MILLIS).request(++run, 0).request(++run, 0);
            for (long i = fixture.grantsOf("a") - before; i > 0; i--) {
                sentMillis.add(nowMillis);
            }
            List<Long> all = fixture.granted();
            all.subList(granted, all.size())
                    .forEach(number -> fixture.end(number.intValue(), Outcome.ANSWERED));
        }
    }

    private int mostInAnySecond() {
        return sentMillis.stream()
                .mapToInt(
                        from ->
                                (int)
                                        sentMillis.stream()
                                                .filter(at -> at >= from && at < from + 1_000)
                                                .count())
                .max()
                .orElse(0);
    }

    @DataProvider
    public static Object[][] shares() {
        return new Object[][] {{1.0}, {0.5}, {0.2}};
    }

    /** Each primary on the sides of a network partition sends its share and leaves the margin. */
    @Test(dataProvider = "shares")
    public void aPrimarySendsItsShareOfTheRate(double share) {
        SchedulerFixture fixture = primary().send(new DispatchEvent.ShareChanged(1, share));
        demand(fixture.send(cold(1, 100_000, Source.ANSWER)), 10_000);
        double whole = share * (PER_SECOND + 1);
        assertTrue(mostInAnySecond() <= whole, mostInAnySecond() + " in a second");
        // With a burst of one request, what accrues between two steps is lost.
        assertTrue(sentMillis.size() >= 0.9 * 10 * (whole - 1) - 1, sentMillis.size() + " sent");
    }

    @Test
    public void aPrimaryWithLessThanOneRequestInASecondSendsNothing() {
        SchedulerFixture fixture = coldPrimary().send(new DispatchEvent.ShareChanged(1, 0.07));
        demand(fixture, 5_000);
        assertEquals(sentMillis.size(), 0);
    }

    /** Grants issued just before the notice are in flight and count in the same second. */
    @Test
    public void aNoticeAfterGrantsCountsTheGrants() {
        SchedulerFixture fixture = primary();
        for (int i = 0; i < 20; i++) {
            fixture.request(++run, 0);
        }
        assertEquals(fixture.grantsOf("a"), 20);
        fixture.send(cold(1, 3_000, Source.ANSWER));
        demand(fixture, 990);
        assertEquals(sentMillis.size(), 0);
        demand(fixture, 1_000);
        assertTrue(sentMillis.size() >= 10, sentMillis.size() + " sent");
    }

    /** The new primary does not know what the old one sent, apart from the runs under way. */
    @Test
    public void aChangeOfThePrimaryInAColdSecondKeepsTheBound() {
        for (int change = 1; change <= 6; change++) {
            SchedulerFixture fixture = coldPrimary();
            demand(fixture, 300L * change);
            SchedulerFixture next = primary().send(cold(1, 10_000, Source.ANSWER));
            demand(next, 300);
        }
        assertTrue(mostInAnySecond() <= MAX_PER_SECOND, mostInAnySecond() + " in a second");
    }

    @Test
    public void runsOfOtherSchedulersAreCharged() {
        SchedulerFixture fixture = coldPrimary();
        for (int i = 0; i < 24; i++) {
            PlacementRequest request = SchedulerFixture.request(0, 600, 10_000, 1_000, 100);
            fixture.send(new DispatchEvent.Placed(SchedulerFixture.key(100_000 + i), request, A));
        }
        demand(fixture, 1_900);
        assertEquals(sentMillis.size(), 0);
    }

    private static KnownHosts hosts(int self, int count, int assumed) {
        List<HostId> all =
                IntStream.range(0, count).mapToObj(i -> new HostId("10.0.0." + i)).toList();
        return new KnownHosts(Optional.of(all.get(self)), all, all, assumed);
    }

    @DataProvider
    public static Object[][] fleets() {
        return new Object[][] {{1, 1}, {3, 3}, {81, 81}, {20, 81}, {1, 81}, {400, 400}};
    }

    /** Hosts without a primary have no record of each other's requests. */
    @Test(dataProvider = "fleets")
    public void hostsWithoutAPrimaryStayWithinTheirPartTogether(int count, int assumed) {
        int sharing = 0;
        for (int self = 0; self < count; self++) {
            SchedulerFixture fixture =
                    fixture(Quotas.Role.FALLBACK)
                            .server("a", SLOTS)
                            .send(new DispatchEvent.ShareChanged(1, 1, hosts(self, count, assumed)))
                            .send(cold(1, 10_000, Source.ENTRY));
            sentMillis.clear();
            nowMillis = 0;
            demand(fixture, self < 10 ? 4_000 : 1_100);
            assertTrue(mostInAnySecond() <= 1, mostInAnySecond() + " in a second");
            sharing += sentMillis.isEmpty() ? 0 : 1;
        }
        int part = 5 * count / assumed;
        assertEquals(sharing, Math.min(part, count));
    }

    @Test
    public void theStateEndsWithTheStatedTime() {
        SchedulerFixture fixture = primary().send(cold(1, 1_000, Source.ENTRY));
        demand(fixture, 980);
        assertTrue(sentMillis.size() <= 13, sentMillis.size() + " sent");
        sentMillis.clear();
        demand(fixture, 1_000);
        assertTrue(sentMillis.size() > 150, sentMillis.size() + " sent");
    }

    @Test
    public void theStateEndsWithAnEntryThatSaysSo() {
        SchedulerFixture fixture = coldPrimary();
        demand(fixture, 500);
        demand(fixture.send(cold(1, 0, Source.ENTRY)), 500);
        assertTrue(sentMillis.size() > 60, sentMillis.size() + " sent");
    }

    /** The catalog is replayed to schedulers with every change of any entry. */
    @Test
    public void anOlderStatementDoesNotOverrideALaterOne() {
        SchedulerFixture fixture = primary().send(cold(1, 10_000, Source.ANSWER));
        demand(fixture, 500);
        fixture.send(new DispatchEvent.ServerCold(A, 1, 0, 5_000, Source.ENTRY));
        demand(fixture, 500);
        assertTrue(sentMillis.size() <= 13, sentMillis.size() + " sent");
    }

    @Test
    public void anotherStartHasItsOwnState() {
        SchedulerFixture fixture = coldPrimary().serverWithStart("a", SLOTS, 2);
        demand(fixture, 500);
        assertTrue(sentMillis.size() >= 80, sentMillis.size() + " sent");
        sentMillis.clear();
        fixture.send(cold(1, 10_000, Source.ANSWER));
        demand(fixture, 500);
        assertTrue(sentMillis.size() >= 80, "a statement of the earlier start has an effect");
    }

    @Test
    public void anAbsurdTimeIsBounded() {
        SchedulerFixture fixture = primary().send(cold(1, Long.MAX_VALUE, Source.ENTRY));
        demand(fixture, 1_000);
        assertTrue(sentMillis.size() <= 13 && sentMillis.size() >= 10, sentMillis.toString());
    }

    /** Pools that declare no warm-up must be served as before. */
    @Test
    public void poolsWithoutWarmupAreNotLimited() {
        SchedulerFixture fixture =
                new SchedulerFixture().server("a", SLOTS).send(cold(1, 10_000, Source.ENTRY));
        demand(fixture, 500);
        assertTrue(sentMillis.size() >= 80, sentMillis.size() + " sent");
    }

    /** A burst that meets a domain of cold servers goes to the others while they have room. */
    @Test
    public void otherServersArePreferredWhileAWholeDomainIsCold() {
        SchedulerFixture fixture = fixture(Quotas.Role.PRIMARY);
        for (int i = 0; i < 5; i++) {
            String id = "cold" + i;
            fixture.server(id, 8, SchedulerFixture.NEAR, false)
                    .server("warm" + i, 8, SchedulerFixture.FAR, false)
                    .send(
                            new DispatchEvent.ServerCold(
                                    new ServerId(id), 1, 3_000, 0, Source.ENTRY));
        }
        fixture.advance(500);
        for (int i = 1; i <= 40; i++) {
            fixture.request(i, 0);
            assertTrue(fixture.grantedServer(i).startsWith("warm"), fixture.grantedServer(i));
        }
        for (int i = 41; i <= 45; i++) {
            fixture.request(i, 0);
            assertTrue(fixture.grantedServer(i).startsWith("cold"), fixture.grantedServer(i));
        }
        fixture.request(46, 0);
        assertNull(fixture.grantedServer(46));
    }

    /** Otherwise requests queue for slots that the rate can't keep busy, and miss their targets. */
    @Test
    public void admissionCountsAColdServerByItsRate() {
        SchedulerFixture warm = primary();
        SchedulerFixture cold = coldPrimary();
        for (int i = 1; i <= 400; i++) {
            warm.request(i, 0);
            cold.request(i, 0);
        }
        assertNull(warm.refusalOf(100));
        assertNotNull(cold.refusalOf(100));
    }

    /** A server that is slow only while it is cold was avoided long after. */
    @Test
    public void timesOfAColdServerAreNotRemembered() {
        SchedulerFixture fixture = coldPrimary().server("b", SLOTS, SchedulerFixture.FAR, false);
        fixture.removeServer("b").advance(500).request(1, 0).advance(2_000);
        fixture.first(1, 2_000).end(1, Outcome.ANSWERED).request(2, 0);
        assertEquals(fixture.grantedServer(2), "a", "a cold server is taken for silent");
        fixture.end(2, Outcome.TIMED_OUT).send(cold(1, 0, Source.ENTRY));
        fixture.server("b", SLOTS, SchedulerFixture.FAR, false).advance(100).request(3, 0);
        assertEquals(fixture.grantedServer(3), "a");
    }

    /** A server that was sent a request, and then became cold, is slow for the same reason. */
    @Test
    public void aRunThatOverlapsAColdPeriodDoesNotCount() {
        SchedulerFixture fixture = primary().request(1, 0).advance(100);
        fixture.send(cold(1, 500, Source.ANSWER)).advance(2_000);
        fixture.first(1, 2_000).end(1, Outcome.ANSWERED);
        fixture.server("b", SLOTS, SchedulerFixture.FAR, false).request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    @Test
    public void eachChangeOfTheStateIsLoggedOnce() {
        SchedulerFixture fixture = primary();
        for (int i = 0; i < 5; i++) {
            fixture.send(cold(1, 1_000, Source.ANSWER));
        }
        fixture.advance(2_000).advance(100);
        List<String> lines =
                fixture.actions.stream()
                        .filter(DispatchAction.Note.class::isInstance)
                        .map(note -> ((DispatchAction.Note) note).line())
                        .toList();
        assertEquals(
                lines,
                List.of(
                        "event=server_cold server=a start=1 left_ms=1000 source=ANSWER age_ms=0",
                        "event=server_warm server=a start=1"));
    }

    /** A new failure domain of this size must not slow down the decisions or exceed any bound. */
    @Test
    public void manyServersOfWhichAThirdIsCold() {
        SchedulerFixture fixture = fixture(Quotas.Role.PRIMARY);
        List<PoolServer> servers =
                IntStream.range(0, 3_000)
                        .mapToObj(i -> SchedulerFixture.poolServer("s" + i, 1))
                        .toList();
        for (int i = 0; i < 1_000; i++) {
            fixture.send(
                    new DispatchEvent.ServerCold(
                            new ServerId("s" + 3 * i), 1, 3_000, 0, Source.ENTRY));
        }
        fixture.send(new DispatchEvent.ServersChanged(servers)).advance(500);
        for (int i = 1; i <= 2_500; i++) {
            fixture.request(i, 0);
        }
        long warm = 0;
        for (int i = 1; i <= 2_000; i++) {
            warm += isCold(fixture.grantedServer(i)) ? 0 : 1;
        }
        assertEquals(warm, 2_000);
        assertNotNull(fixture.grantedServer(2_500));
        assertEquals(fixture.scheduler.limitCounts(1_500_000_000L).cold(), 1_000);
    }

    private static boolean isCold(String server) {
        return Integer.parseInt(server.substring(1)) % 3 == 0;
    }
}

package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.quarantine.ServerStart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the decisions of {@link Scheduler}, each under the load that the decision is made for. */
public class SchedulerTest {
    @Test
    public void neverExceedsTheSlotsOfAServer() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 2);
        for (int run = 1; run <= 5; run++) {
            fixture.request(run, 1);
        }
        assertEquals(fixture.granted(), List.of(1L, 2L));
        assertEquals(fixture.scheduler.waiting(), 3);
    }

    @Test
    public void servesABurstByRankThenByTarget() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).request(1, 2);
        fixture.request(2, 2);
        fixture.request(3, SchedulerFixture.request(1, 900, 10_000, 1_000, 100));
        fixture.request(4, SchedulerFixture.request(1, 300, 10_000, 1_000, 100));
        for (int run : new int[] {1, 4, 3}) {
            fixture.end(run, Outcome.ANSWERED);
        }
        assertEquals(fixture.granted(), List.of(1L, 4L, 3L, 2L));
    }

    @Test
    public void servesLateRequestsAfterOthersOfTheirRank() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).request(1, 0);
        fixture.request(2, SchedulerFixture.request(0, 200, 10_000, 1_000, 100));
        fixture.advance(300);
        fixture.request(3, SchedulerFixture.request(0, 600, 10_000, 1_000, 100));
        fixture.end(1, Outcome.ANSWERED);
        assertEquals(fixture.granted(), List.of(1L, 3L));
    }

    @Test
    public void newRequestsDoNotOvertakeQueuedOnes() {
        SchedulerFixture fixture =
                new SchedulerFixture().server("a", 1).request(1, 0).request(2, 0);
        fixture.server("b", 1);
        fixture.request(3, 0);
        assertEquals(fixture.grantedServer(2), "b");
        assertNull(fixture.grantedServer(3));
    }

    /**
     * Guards against requests to servers that stated in their answers that they are leaving, before
     * the store reports it or while the store is unavailable.
     */
    @Test
    public void aServerThatStatedThatItLeavesGetsNoRequests() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8).server("b", 1);
        fixture.send(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        fixture.request(1, 0).request(2, 0);
        assertEquals(fixture.grantedServer(1), "b");
        assertNull(fixture.grantedServer(2));
        fixture.end(1, Outcome.ANSWERED);
        assertEquals(fixture.grantedServer(2), "b");
    }

    @Test
    public void aLeavingServerIsUsedAgainOnlyWhenItsEntryStopsDraining() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8);
        fixture.send(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        fixture.server("a", 8, SchedulerFixture.NEAR, false).request(1, 0);
        assertNotNull(fixture.refusalOf(1));
        fixture.server("a", 8, SchedulerFixture.NEAR, true)
                .server("a", 8, SchedulerFixture.NEAR, false)
                .request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    /** A late heartbeat removes the entry for a while; the runs continue. */
    @Test
    public void keepsTheRunsOfAServerWhoseEntryIsTemporarilyAbsent() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).request(1, 0);
        fixture.removeServer("a").server("a", 1).request(2, 0);
        assertNull(fixture.grantedServer(2));
        fixture.end(1, Outcome.ANSWERED);
        assertEquals(fixture.grantedServer(2), "a");
    }

    @Test
    public void aLeavingServerStaysLeavingWhenItsEntryReturns() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8);
        fixture.send(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        fixture.removeServer("a").server("a", 8).request(1, 0);
        assertNotNull(fixture.refusalOf(1));
        fixture.removeServer("a").serverWithStart("a", 8, 2).request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    @Test
    public void ignoresALeavingNoticeOfAnEarlierIncarnation() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8);
        fixture.send(new DispatchEvent.ServerLeaving(new ServerId("a"), 0)).request(1, 0);
        assertEquals(fixture.grantedServer(1), "a");
    }

    /** All servers of the pool are excluded by the requesting host. */
    @Test
    public void refusesAtOnceWhenAllServersAreExcluded() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8).server("b", 8);
        Set<ServerId> all = Set.of(new ServerId("a"), new ServerId("b"));
        fixture.request(1, SchedulerFixture.request(0, 600, 10_000, 1_000, 100, all));
        assertEquals(fixture.refusalOf(1).reason(), DispatchAction.Reason.NO_SERVER);
        assertEquals(fixture.scheduler.waiting(), 0);
    }

    @Test
    public void placesLongPromptsOnDifferentServers() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8).server("b", 8);
        fixture.request(1, SchedulerFixture.request(0, 600, 10_000, 50_000, 100));
        fixture.request(2, SchedulerFixture.request(0, 600, 10_000, 50_000, 100));
        assertTrue(!fixture.grantedServer(1).equals(fixture.grantedServer(2)));
    }

    @Test
    public void prefersTheFasterServerOnceSpeedIsObserved() {
        SchedulerFixture fixture = new SchedulerFixture().server("slow", 4);
        for (int run = 1; run <= 30; run++) {
            fixture.request(run, 0).first(run, 400).end(run, Outcome.ANSWERED);
        }
        fixture.server("fast", 4);
        fixture.request(100, 0);
        assertEquals(fixture.grantedServer(100), "fast");
    }

    @Test
    public void prefersABusyServerToAFailingOne() {
        SchedulerFixture fixture = new SchedulerFixture().server("bad", 4);
        for (int run = 1; run <= 6; run++) {
            fixture.request(run, 0).end(run, Outcome.FAILED);
        }
        fixture.server("good", 4).request(10, 0).request(11, 0);
        assertEquals(fixture.grantedServer(10), "good");
        assertEquals(fixture.grantedServer(11), "good");
    }

    @Test(dataProvider = "faults")
    public void backsOffFromAServerAfterAFault(Outcome outcome) {
        SchedulerFixture fixture =
                new SchedulerFixture().server("a", 4).request(1, 0).end(1, outcome);
        fixture.request(2, 0);
        assertNull(fixture.grantedServer(2));
        fixture.advance(400);
        assertEquals(fixture.grantedServer(2), "a");
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{Outcome.UNREACHABLE}, {Outcome.BROKEN}, {Outcome.TIMED_OUT}};
    }

    @Test
    public void aSilentServerGetsNoMoreRequests() {
        SchedulerFixture fixture =
                new SchedulerFixture().server("dark", 8).request(1, 0).advance(900);
        fixture.server("well", 8).request(2, 0);
        assertEquals(fixture.grantedServer(2), "well");
        fixture.removeServer("well").request(3, 0);
        assertNull(fixture.grantedServer(3));
    }

    @Test
    public void aDrainingServerGetsNoRequestsAndKeepsItsRuns() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 4).request(1, 0);
        fixture.server("a", 4, SchedulerFixture.NEAR, true).request(2, 0);
        assertNull(fixture.grantedServer(2));
        assertEquals(fixture.scheduler.running(), 1);
    }

    @DataProvider
    public static Object[][] startTimes() {
        return new Object[][] {{1L, 2L}, {0L, 0L}, {1L, 0L}, {0L, 1L}};
    }

    /**
     * A server that does not state its start time may have restarted while its entry was absent.
     */
    @Test(dataProvider = "startTimes")
    public void aRestartedServerHasNoneOfTheEarlierRuns(long startBefore, long startAfter) {
        SchedulerFixture fixture =
                new SchedulerFixture()
                        .serverWithStart("a", 1, startBefore)
                        .request(1, 0)
                        .removeServer("a");
        fixture.serverWithStart("a", 1, startAfter).request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    @Test
    public void excludedServersAreNotChosen() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 4);
        fixture.request(
                1, SchedulerFixture.request(0, 600, 5_000, 10, 10, Set.of(new ServerId("a"))));
        assertNull(fixture.grantedServer(1));
    }

    @Test
    public void memoryLimitsConcurrentRuns() {
        SchedulerFixture fixture = new SchedulerFixture().pool(10_000).server("a", 8);
        fixture.request(1, SchedulerFixture.request(0, 600, 5_000, 8_000, 100));
        fixture.request(2, SchedulerFixture.request(0, 600, 5_000, 8_000, 100));
        fixture.request(3, SchedulerFixture.request(1, 600, 5_000, 500, 10));
        assertEquals(fixture.grantedServer(1), "a");
        assertNull(fixture.grantedServer(2));
    }

    @Test
    public void aRequestLargerThanMemoryRunsAlone() {
        SchedulerFixture fixture = new SchedulerFixture().pool(10_000).server("a", 8);
        fixture.request(1, SchedulerFixture.request(0, 600, 5_000, 20_000, 100));
        assertEquals(fixture.grantedServer(1), "a");
    }

    @Test
    public void refusesAtOnceWithARetryTimeWhenTheQueueIsTooLong() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1);
        int run = 1;
        while (fixture.refusalOf(run - 1) == null && run < 500) {
            fixture.request(run++, SchedulerFixture.request(1, 600, 3_000, 1_000, 700));
        }
        DispatchAction.Refuse refusal = fixture.refusalOf(run - 1);
        assertNotNull(refusal);
        assertEquals(refusal.reason(), Reason.OVERLOAD);
        assertTrue(refusal.retryAfterMillis() <= 1_000, "within a third of the time left");
        assertTrue(refusal.retryAfterMillis() >= 100);
    }

    @Test
    public void anUrgentRequestIsNotRefusedForAQueueOfLessUrgentOnes() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1);
        for (int run = 1; run <= 100; run++) {
            fixture.request(run, SchedulerFixture.request(2, 600, 3_000, 1_000, 700));
        }
        fixture.request(200, SchedulerFixture.request(0, 600, 3_000, 1_000, 700));
        assertNull(fixture.refusalOf(200));
    }

    @Test
    public void refusesALongQueuedRequestWhileThereIsTimeToRetry() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).request(1, 0);
        fixture.request(2, SchedulerFixture.request(0, 600, 2_000, 1_000, 100));
        fixture.advance(1_100);
        DispatchAction.Refuse refusal = fixture.refusalOf(2);
        assertNotNull(refusal);
        assertTrue(refusal.retryAfterMillis() <= 300);
    }

    @Test
    public void refusesWithoutChargeWhenThereAreNoServers() {
        SchedulerFixture fixture = new SchedulerFixture().quota(10, 1_200).request(1, 0);
        assertEquals(fixture.refusalOf(1).reason(), Reason.NO_SERVER);
        fixture.server("a", 4).request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    /**
     * Primaries die between the crashes, and each host observed only one of them. Without reports,
     * no primary would count enough crashes.
     */
    @Test
    public void reportedCrashesQuarantineContentAtTheNextPrimary() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 4);
        for (int host = 1; host <= 3; host++) {
            assertNull(fixture.refusalOf(host));
            HostId reporter = new HostId("10.0.0." + host);
            for (int attempt = 0; attempt < 2; attempt++) {
                fixture.send(new DispatchEvent.CrashesReported(reporter, crashReport("x" + host)));
            }
            fixture.advance(100);
            fixture.request(host, SchedulerFixture.request(0, 600, 5_000, 666, 10));
        }
        assertEquals(fixture.refusalOf(3).reason(), Reason.HELD);
    }

    private static CrashReport crashReport(String server) {
        CrashReport.Seen crash =
                new CrashReport.Seen(
                        new ServerStart(new ServerId(server), 1),
                        0,
                        List.of(RequestContent.whole(666)));
        return new CrashReport(List.of(crash), List.of());
    }

    @Test
    public void reportsObservedCrashes() {
        SchedulerFixture fixture =
                new SchedulerFixture()
                        .server("a", 4)
                        .request(1, SchedulerFixture.request(0, 600, 5_000, 666, 10));
        fixture.end(1, Outcome.BROKEN).removeServer("a");
        HostId self = new HostId("h");
        assertEquals(
                fixture.scheduler.reports(self, 1_000_000_000L),
                List.of(new DispatchEvent.CrashesReported(self, crashReport("a"))));
    }

    @Test
    public void aQuotaRefusalStatesWhenTheQuotaIsRefilled() {
        SchedulerFixture fixture =
                new SchedulerFixture()
                        .quota(1_000, 1_100)
                        .server("a", 9)
                        .request(1, 0)
                        .request(2, 0);
        assertEquals(fixture.grantedServer(1), "a");
        assertEquals(fixture.refusalOf(2).reason(), Reason.QUOTA);
        assertEquals(fixture.refusalOf(2).retryAfterMillis(), 1_100);
    }

    @Test
    public void lessUrgentRequestsLeavePartOfTheQuotaToUrgentOnes() {
        SchedulerFixture fixture = new SchedulerFixture().quota(1, 10_000).server("a", 99);
        int run = 1;
        while (fixture.refusalOf(run - 1) == null) {
            fixture.request(run++, SchedulerFixture.request(2, 600, 10_000, 900, 100));
        }
        assertEquals(fixture.refusalOf(run - 1).reason(), Reason.QUOTA);
        fixture.request(100, 0).request(101, 0).request(102, 0);
        assertEquals(fixture.grantedServer(102), "a");
    }

    @Test
    public void placementsOfOtherSchedulersCountAgainstTheQuota() {
        SchedulerFixture fixture = new SchedulerFixture().quota(1_000, 3_000).server("a", 9);
        fixture.send(
                new DispatchEvent.Placed(
                        SchedulerFixture.key(1),
                        SchedulerFixture.request(0, 600, 5_000, 2_500, 100),
                        new ServerId("a")));
        fixture.request(2, 0);
        assertEquals(fixture.refusalOf(2).reason(), Reason.QUOTA);
    }

    /** The quota was refunded, though the other scheduler had not charged the request. */
    @Test
    public void aQueuedRequestThatAnotherSchedulerPlacesStaysCharged() {
        SchedulerFixture fixture =
                new SchedulerFixture()
                        .quota(1_000, 2_200)
                        .server("a", 1)
                        .request(1, 0)
                        .request(2, 0);
        fixture.send(
                new DispatchEvent.Placed(
                        SchedulerFixture.key(2),
                        SchedulerFixture.request(0, 600, 5_000, 1_000, 100).withoutQuota(),
                        new ServerId("a")));
        fixture.request(3, 0);
        assertEquals(fixture.refusalOf(3).reason(), Reason.QUOTA);
    }

    @Test
    public void quarantinesContentThatCrashesThreeServersButNotConcurrentContent() {
        SchedulerFixture fixture = new SchedulerFixture();
        for (int crash = 1; crash <= 3; crash++) {
            String server = "s" + crash;
            fixture.server(server, 9);
            fixture.request(10 * crash, SchedulerFixture.request(0, 600, 5_000, 666, 10));
            fixture.request(
                    10 * crash + 1, SchedulerFixture.request(0, 600, 5_000, 100 + crash, 10));
            assertEquals(fixture.grantedServer(10 * crash), server);
            fixture.end(10 * crash, Outcome.BROKEN).end(10 * crash + 1, Outcome.BROKEN);
            fixture.removeServer(server).advance(1_000);
        }
        fixture.server("s4", 9);
        fixture.request(90, SchedulerFixture.request(0, 600, 5_000, 666, 10));
        fixture.request(91, SchedulerFixture.request(0, 600, 5_000, 101, 10));
        assertEquals(fixture.refusalOf(90).reason(), Reason.HELD);
        assertEquals(fixture.grantedServer(91), "s4");
    }

    @Test
    public void brokenRunsWithoutServerLossDoNotQuarantine() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 9);
        for (int run = 1; run <= 5; run++) {
            fixture.request(run, SchedulerFixture.request(0, 600, 50_000, 666, 10))
                    .end(run, Outcome.BROKEN);
            fixture.advance(5_000);
        }
        fixture.request(9, SchedulerFixture.request(0, 600, 50_000, 666, 10));
        assertEquals(fixture.grantedServer(9), "a");
    }

    /** Returns a pool whose two slots were kept busy by urgent requests for a while. */
    private static SchedulerFixture keptBusy() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 2);
        for (int run = 100; run < 110; run += 2) {
            fixture.request(run, 0).request(run + 1, 0).advance(400);
            fixture.end(run, Outcome.ANSWERED).end(run + 1, Outcome.ANSWERED);
        }
        return fixture.request(200, 0).request(201, 0);
    }

    @Test
    public void refusesLessUrgentRequestsWhileUrgentOnesKeepArriving() {
        SchedulerFixture fixture = keptBusy();
        fixture.request(1, SchedulerFixture.request(2, 1_000, 2_500, 1_000, 100));
        fixture.request(2, SchedulerFixture.request(2, 1_000, 2_500, 1_000, 100));
        fixture.request(3, SchedulerFixture.request(2, 1_000, 2_500, 1_000, 100));
        assertNull(fixture.refusalOf(1));
        assertEquals(fixture.refusalOf(3).reason(), Reason.OVERLOAD);
    }

    @Test
    public void refusesRequestsThatWouldBeLateBehindThoseInTime() {
        SchedulerFixture fixture = keptBusy();
        for (int run = 1; run <= 12; run++) {
            fixture.request(run, 0);
        }
        assertNull(fixture.refusalOf(1));
        assertEquals(fixture.refusalOf(12).reason(), Reason.OVERLOAD);
    }

    @Test
    public void runsOfALostHostFreeTheirSlots() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).request(1, 0);
        fixture.send(new DispatchEvent.HostGone(SchedulerFixture.HOST));
        assertEquals(fixture.scheduler.running(), 0);
    }

    @Test
    public void repeatedAndLateMessagesHaveNoEffect() {
        SchedulerFixture fixture =
                new SchedulerFixture().server("a", 1).server("b", 1).request(1, 0).request(1, 0);
        assertEquals(fixture.actions.size(), 2);
        assertEquals(fixture.granted(), List.of(1L, 1L));
        assertEquals(
                fixture.actions.stream().map(SchedulerTest::serverOfGrant).distinct().count(), 1);
        assertEquals(fixture.scheduler.running(), 1);
        fixture.end(1, Outcome.ANSWERED).end(1, Outcome.ANSWERED).first(1, 10);
        fixture.send(new DispatchEvent.Withdrawn(SchedulerFixture.key(1)));
        assertEquals(fixture.scheduler.running(), 0);
        fixture.removeServer("b").request(2, 0);
        assertEquals(fixture.grantedServer(2), "a");
    }

    private static ServerId serverOfGrant(DispatchAction action) {
        return ((DispatchAction.Grant) action).server();
    }

    @Test
    public void countsSlotsTakenByOtherSchedulers() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1);
        fixture.send(
                new DispatchEvent.Placed(
                        SchedulerFixture.key(1),
                        SchedulerFixture.request(0, 600, 5_000, 10, 10),
                        new ServerId("a")));
        fixture.request(2, 0);
        assertNull(fixture.grantedServer(2));
    }

    @Test
    public void removesAnUnreportedRunAfterItsDeadline() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1);
        fixture.request(1, SchedulerFixture.request(0, 600, 1_000, 10, 10)).advance(2_600);
        assertEquals(fixture.scheduler.running(), 0);
    }

    @Test
    public void aShareOfTheSlotsIsAtLeastOne() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 8);
        fixture.send(new DispatchEvent.ShareChanged(0.01, 1));
        fixture.request(1, 0).request(2, 0);
        assertEquals(fixture.granted(), List.of(1L));
    }
}

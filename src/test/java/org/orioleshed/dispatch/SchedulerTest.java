package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Scheduler}: each replays the load that the decision answers. */
public class SchedulerTest {
    @Test
    public void neverSendsAServerMoreThanItRuns() {
        Pools pools = new Pools().server("a", 2);
        for (int run = 1; run <= 5; run++) {
            pools.request(run, 1);
        }
        assertEquals(pools.granted(), List.of(1L, 2L));
        assertEquals(pools.scheduler.waiting(), 3);
    }

    @Test
    public void aBurstIsServedByUrgencyThenByTarget() {
        Pools pools = new Pools().server("a", 1).request(1, 2);
        pools.request(2, 2);
        pools.request(3, Pools.request(1, 900, 10_000, 1_000, 100));
        pools.request(4, Pools.request(1, 300, 10_000, 1_000, 100));
        for (int run : new int[] {1, 4, 3}) {
            pools.end(run, Outcome.ANSWERED);
        }
        assertEquals(pools.granted(), List.of(1L, 4L, 3L, 2L));
    }

    @Test
    public void whoIsLateAlreadyDoesNotMakeOthersOfItsRankLate() {
        Pools pools = new Pools().server("a", 1).request(1, 0);
        pools.request(2, Pools.request(0, 200, 10_000, 1_000, 100));
        pools.after(300);
        pools.request(3, Pools.request(0, 600, 10_000, 1_000, 100));
        pools.end(1, Outcome.ANSWERED);
        assertEquals(pools.granted(), List.of(1L, 3L));
    }

    @Test
    public void aNewcomerDoesNotOvertakeWhoWaits() {
        Pools pools = new Pools().server("a", 1).request(1, 0).request(2, 0);
        pools.server("b", 1);
        pools.request(3, 0);
        assertEquals(pools.serverOf(2), "b");
        assertNull(pools.serverOf(3));
    }

    /**
     * Half of a pool leaves and says so in its answers, before the store does or while it is away.
     */
    @Test
    public void aServerThatToldAHostThatItLeavesGetsNothingFromAnyHost() {
        Pools pools = new Pools().server("a", 8).server("b", 1);
        pools.tell(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        pools.request(1, 0).request(2, 0);
        assertEquals(pools.serverOf(1), "b");
        assertNull(pools.serverOf(2));
        pools.end(1, Outcome.ANSWERED);
        assertEquals(pools.serverOf(2), "b");
    }

    @Test
    public void aServerThatLeavesIsUsedAgainOnlyWhenItsEntryTakesThatBack() {
        Pools pools = new Pools().server("a", 8);
        pools.tell(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        pools.server("a", 8, Pools.NEAR, false).request(1, 0);
        assertNotNull(pools.refusalOf(1));
        pools.server("a", 8, Pools.NEAR, true).server("a", 8, Pools.NEAR, false).request(2, 0);
        assertEquals(pools.serverOf(2), "a");
    }

    /** A heartbeat that comes late takes the entry away for a while; the runs go on. */
    @Test
    public void aServerWhoseEntryVanishesForAWhileKeepsItsRuns() {
        Pools pools = new Pools().server("a", 1).request(1, 0);
        pools.gone("a").server("a", 1).request(2, 0);
        assertNull(pools.serverOf(2));
        pools.end(1, Outcome.ANSWERED);
        assertEquals(pools.serverOf(2), "a");
    }

    @Test
    public void aServerThatToldThatItLeavesStaysSoWhenItsEntryComesBack() {
        Pools pools = new Pools().server("a", 8);
        pools.tell(new DispatchEvent.ServerLeaving(new ServerId("a"), 1));
        pools.gone("a").server("a", 8).request(1, 0);
        assertNotNull(pools.refusalOf(1));
        pools.gone("a").serverStarted("a", 8, 2).request(2, 0);
        assertEquals(pools.serverOf(2), "a");
    }

    @Test
    public void aNoticeOfAnEarlierStartOfTheServerCountsForNothing() {
        Pools pools = new Pools().server("a", 8);
        pools.tell(new DispatchEvent.ServerLeaving(new ServerId("a"), 0)).request(1, 0);
        assertEquals(pools.serverOf(1), "a");
    }

    /** All servers of a pool want nothing from the host that asks. */
    @Test
    public void whoMayUseNoServerHearsSoAtOnce() {
        Pools pools = new Pools().server("a", 8).server("b", 8);
        Set<ServerId> all = Set.of(new ServerId("a"), new ServerId("b"));
        pools.request(1, Pools.request(0, 600, 10_000, 1_000, 100, all));
        assertEquals(pools.refusalOf(1).reason(), DispatchAction.Reason.NO_SERVER);
        assertEquals(pools.scheduler.waiting(), 0);
    }

    @Test
    public void longPromptsGoToDifferentServers() {
        Pools pools = new Pools().server("a", 8).server("b", 8);
        pools.request(1, Pools.request(0, 600, 10_000, 50_000, 100));
        pools.request(2, Pools.request(0, 600, 10_000, 50_000, 100));
        assertTrue(!pools.serverOf(1).equals(pools.serverOf(2)));
    }

    @Test
    public void theFasterServerIsPreferredOnceItIsKnown() {
        Pools pools = new Pools().server("slow", 4);
        for (int run = 1; run <= 30; run++) {
            pools.request(run, 0).first(run, 400).end(run, Outcome.ANSWERED);
        }
        pools.server("fast", 4);
        pools.request(100, 0);
        assertEquals(pools.serverOf(100), "fast");
    }

    @Test
    public void aServerThatFailsLooksWorseThanABusyOne() {
        Pools pools = new Pools().server("bad", 4);
        for (int run = 1; run <= 6; run++) {
            pools.request(run, 0).end(run, Outcome.FAILED);
        }
        pools.server("good", 4).request(10, 0).request(11, 0);
        assertEquals(pools.serverOf(10), "good");
        assertEquals(pools.serverOf(11), "good");
    }

    @Test(dataProvider = "faults")
    public void aServerThatCannotBeReachedRestsForAWhile(Outcome outcome) {
        Pools pools = new Pools().server("a", 4).request(1, 0).end(1, outcome);
        pools.request(2, 0);
        assertNull(pools.serverOf(2));
        pools.after(400);
        assertEquals(pools.serverOf(2), "a");
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{Outcome.UNREACHABLE}, {Outcome.BROKEN}, {Outcome.TIMED_OUT}};
    }

    @Test
    public void aSilentServerGetsNothingMore() {
        Pools pools = new Pools().server("dark", 8).request(1, 0).after(900);
        pools.server("well", 8).request(2, 0);
        assertEquals(pools.serverOf(2), "well");
        pools.gone("well").request(3, 0);
        assertNull(pools.serverOf(3));
    }

    @Test
    public void aLeavingServerGetsNothingMoreAndFinishesWhatRuns() {
        Pools pools = new Pools().server("a", 4).request(1, 0);
        pools.server("a", 4, Pools.NEAR, true).request(2, 0);
        assertNull(pools.serverOf(2));
        assertEquals(pools.scheduler.running(), 1);
    }

    @DataProvider
    public static Object[][] births() {
        return new Object[][] {{1L, 2L}, {0L, 0L}, {1L, 0L}, {0L, 1L}};
    }

    /** One that does not state its birth may have started anew while its entry was away. */
    @Test(dataProvider = "births")
    public void aServerThatStartedAnewHasNoneOfTheOldRuns(long before, long after) {
        Pools pools = new Pools().serverStarted("a", 1, before).request(1, 0).gone("a");
        pools.serverStarted("a", 1, after).request(2, 0);
        assertEquals(pools.serverOf(2), "a");
    }

    @Test
    public void excludedServersAreNotChosen() {
        Pools pools = new Pools().server("a", 4);
        pools.request(1, Pools.request(0, 600, 5_000, 10, 10, Set.of(new ServerId("a"))));
        assertNull(pools.serverOf(1));
    }

    @Test
    public void memoryBoundsWhatRunsTogether() {
        Pools pools = new Pools().pool(10_000).server("a", 8);
        pools.request(1, Pools.request(0, 600, 5_000, 8_000, 100));
        pools.request(2, Pools.request(0, 600, 5_000, 8_000, 100));
        pools.request(3, Pools.request(1, 600, 5_000, 500, 10));
        assertEquals(pools.serverOf(1), "a");
        assertNull(pools.serverOf(2));
    }

    @Test
    public void aRequestLargerThanMemoryRunsAlone() {
        Pools pools = new Pools().pool(10_000).server("a", 8);
        pools.request(1, Pools.request(0, 600, 5_000, 20_000, 100));
        assertEquals(pools.serverOf(1), "a");
    }

    @Test
    public void whoCannotBeServedInTimeIsToldAtOnceWhenToComeBack() {
        Pools pools = new Pools().server("a", 1);
        int run = 1;
        while (pools.refusalOf(run - 1) == null && run < 500) {
            pools.request(run++, Pools.request(1, 600, 3_000, 1_000, 700));
        }
        DispatchAction.Refuse refusal = pools.refusalOf(run - 1);
        assertNotNull(refusal);
        assertEquals(refusal.reason(), Reason.OVERLOAD);
        assertTrue(refusal.retryAfterMillis() <= 1_000, "within a third of the time left");
        assertTrue(refusal.retryAfterMillis() >= 100);
    }

    @Test
    public void anUrgentRequestIsNotRefusedForAQueueOfPatientOnes() {
        Pools pools = new Pools().server("a", 1);
        for (int run = 1; run <= 100; run++) {
            pools.request(run, Pools.request(2, 600, 3_000, 1_000, 700));
        }
        pools.request(200, Pools.request(0, 600, 3_000, 1_000, 700));
        assertNull(pools.refusalOf(200));
    }

    @Test
    public void whoWaitsTooLongIsGivenUpWhileThereIsTimeToComeBack() {
        Pools pools = new Pools().server("a", 1).request(1, 0);
        pools.request(2, Pools.request(0, 600, 2_000, 1_000, 100));
        pools.after(1_100);
        DispatchAction.Refuse refusal = pools.refusalOf(2);
        assertNotNull(refusal);
        assertTrue(refusal.retryAfterMillis() <= 300);
    }

    @Test
    public void withoutServersARequestIsRefusedAndNotCharged() {
        Pools pools = new Pools().quota(10, 1_200).request(1, 0);
        assertEquals(pools.refusalOf(1).reason(), Reason.NO_SERVER);
        pools.server("a", 4).request(2, 0);
        assertEquals(pools.serverOf(2), "a");
    }

    /** Primaries die between the crashes; each host saw one of its own. */
    @Test
    public void whatHostsSawOfCrashesHoldsContentAtTheNextPrimary() {
        Pools pools = new Pools().server("a", 4);
        for (int host = 1; host <= 3; host++) {
            assertNull(pools.refusalOf(host));
            HostId saw = new HostId("10.0.0." + host);
            for (int told = 0; told < 2; told++) {
                pools.tell(new DispatchEvent.CrashesReported(saw, Map.of(666L, 1)));
            }
            pools.request(host, Pools.request(0, 600, 5_000, 666, 10));
        }
        assertEquals(pools.refusalOf(3).reason(), Reason.HELD);
    }

    @Test
    public void aHostReportsTheCrashesThatItSaw() {
        Pools pools = new Pools().server("a", 4).request(1, Pools.request(0, 600, 5_000, 666, 10));
        pools.end(1, Outcome.BROKEN).gone("a");
        HostId self = new HostId("h");
        assertEquals(
                pools.scheduler.reports(self, 1_000_000_000L),
                List.of(new DispatchEvent.CrashesReported(self, Map.of(666L, 1))));
    }

    @Test
    public void aQuotaIsSharedByAllHostsAndSaysWhenItIsFilledAgain() {
        Pools pools = new Pools().quota(1_000, 1_100).server("a", 9).request(1, 0).request(2, 0);
        assertEquals(pools.serverOf(1), "a");
        assertEquals(pools.refusalOf(2).reason(), Reason.QUOTA);
        assertEquals(pools.refusalOf(2).retryAfterMillis(), 1_100);
    }

    @Test
    public void patientCallsLeaveAPartOfTheQuotaToUrgentOnes() {
        Pools pools = new Pools().quota(1, 10_000).server("a", 99);
        int run = 1;
        while (pools.refusalOf(run - 1) == null) {
            pools.request(run++, Pools.request(2, 600, 10_000, 900, 100));
        }
        assertEquals(pools.refusalOf(run - 1).reason(), Reason.QUOTA);
        pools.request(100, 0).request(101, 0).request(102, 0);
        assertEquals(pools.serverOf(102), "a");
    }

    @Test
    public void whatAnotherSchedulerPlacedCountsAgainstTheQuota() {
        Pools pools = new Pools().quota(1_000, 3_000).server("a", 9);
        pools.tell(
                new DispatchEvent.Placed(
                        Pools.key(1), Pools.request(0, 600, 5_000, 2_500, 100), new ServerId("a")));
        pools.request(2, 0);
        assertEquals(pools.refusalOf(2).reason(), Reason.QUOTA);
    }

    @Test
    public void contentThatCrashesThreeServersIsHeldAndItsNeighboursAreNot() {
        Pools pools = new Pools();
        for (int crash = 1; crash <= 3; crash++) {
            String server = "s" + crash;
            pools.server(server, 9);
            pools.request(10 * crash, Pools.request(0, 600, 5_000, 666, 10));
            pools.request(10 * crash + 1, Pools.request(0, 600, 5_000, 100 + crash, 10));
            assertEquals(pools.serverOf(10 * crash), server);
            pools.end(10 * crash, Outcome.BROKEN).end(10 * crash + 1, Outcome.BROKEN);
            pools.gone(server).after(1_000);
        }
        pools.server("s4", 9);
        pools.request(90, Pools.request(0, 600, 5_000, 666, 10));
        pools.request(91, Pools.request(0, 600, 5_000, 101, 10));
        assertEquals(pools.refusalOf(90).reason(), Reason.HELD);
        assertEquals(pools.serverOf(91), "s4");
    }

    @Test
    public void brokenAnswersOfServersThatStayHoldNothing() {
        Pools pools = new Pools().server("a", 9);
        for (int run = 1; run <= 5; run++) {
            pools.request(run, Pools.request(0, 600, 50_000, 666, 10)).end(run, Outcome.BROKEN);
            pools.after(5_000);
        }
        pools.request(9, Pools.request(0, 600, 50_000, 666, 10));
        assertEquals(pools.serverOf(9), "a");
    }

    /** Returns a server with two places that urgent requests have kept busy for a while. */
    private static Pools keptBusy() {
        Pools pools = new Pools().server("a", 2);
        for (int run = 100; run < 110; run += 2) {
            pools.request(run, 0).request(run + 1, 0).after(400);
            pools.end(run, Outcome.ANSWERED).end(run + 1, Outcome.ANSWERED);
        }
        return pools.request(200, 0).request(201, 0);
    }

    @Test
    public void patientOnesAreToldAtOnceWhereUrgentOnesKeepComing() {
        Pools pools = keptBusy();
        pools.request(1, Pools.request(2, 1_000, 2_500, 1_000, 100));
        pools.request(2, Pools.request(2, 1_000, 2_500, 1_000, 100));
        pools.request(3, Pools.request(2, 1_000, 2_500, 1_000, 100));
        assertNull(pools.refusalOf(1));
        assertEquals(pools.refusalOf(3).reason(), Reason.OVERLOAD);
    }

    @Test
    public void whoWillBeLateMustFindRoomBesideThoseInTime() {
        Pools pools = keptBusy();
        for (int run = 1; run <= 12; run++) {
            pools.request(run, 0);
        }
        assertNull(pools.refusalOf(1));
        assertEquals(pools.refusalOf(12).reason(), Reason.OVERLOAD);
    }

    @Test
    public void runsOfADeadHostFreeTheirPlaces() {
        Pools pools = new Pools().server("a", 1).request(1, 0);
        pools.tell(new DispatchEvent.HostGone(Pools.HOST));
        assertEquals(pools.scheduler.running(), 0);
    }

    @Test
    public void repeatedAndLateMessagesChangeNothing() {
        Pools pools = new Pools().server("a", 1).server("b", 1).request(1, 0).request(1, 0);
        assertEquals(pools.actions.size(), 2);
        assertEquals(pools.granted(), List.of(1L, 1L));
        assertEquals(
                pools.actions.stream().map(SchedulerTest::grantedServer).distinct().count(), 1);
        assertEquals(pools.scheduler.running(), 1);
        pools.end(1, Outcome.ANSWERED).end(1, Outcome.ANSWERED).first(1, 10);
        pools.tell(new DispatchEvent.Withdrawn(Pools.key(1)));
        assertEquals(pools.scheduler.running(), 0);
        pools.gone("b").request(2, 0);
        assertEquals(pools.serverOf(2), "a");
    }

    private static ServerId grantedServer(DispatchAction action) {
        return ((DispatchAction.Grant) action).server();
    }

    @Test
    public void placesTakenElsewhereAreCounted() {
        Pools pools = new Pools().server("a", 1);
        pools.tell(
                new DispatchEvent.Placed(
                        Pools.key(1), Pools.request(0, 600, 5_000, 10, 10), new ServerId("a")));
        pools.request(2, 0);
        assertNull(pools.serverOf(2));
    }

    @Test
    public void aRunOfWhichNothingIsHeardIsForgottenAfterItsDeadline() {
        Pools pools = new Pools().server("a", 1);
        pools.request(1, Pools.request(0, 600, 1_000, 10, 10)).after(2_600);
        assertEquals(pools.scheduler.running(), 0);
    }

    @Test
    public void aShareOfThePlacesIsAtLeastOne() {
        Pools pools = new Pools().server("a", 8);
        pools.tell(new DispatchEvent.ShareChanged(0.01, 1));
        pools.request(1, 0).request(2, 0);
        assertEquals(pools.granted(), List.of(1L));
    }
}

package org.orioleshed.routing;

import static org.orioleshed.routing.FleetSnapshots.offer;
import static org.orioleshed.routing.FleetSnapshots.run;
import static org.orioleshed.routing.OneServer.SERVER;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Tier;
import org.orioleshed.routing.RoutingMessage.RefusalReason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the grants, preemptions, cancels and refusals of {@link OwnerCore}. */
public class OwnerCoreTest {
    private static final long HOUR_MILLIS = 3_600_000;

    private final RoutingLimits limits = RoutingLimits.DEFAULTS;

    @Test
    public void grantsAFreeSlotAtOnceAndStartsThePlacedRun() {
        OneServer owner = new OneServer(limits, 2);
        owner.offer(run(1), offer(Tier.URGENT, 10_000));
        assertEquals(owner.granted, List.of(run(1)));
        assertTrue(owner.onEngine.contains(run(1)));
    }

    @Test
    public void repeatedMessagesHaveNoEffect() {
        OneServer owner = new OneServer(limits, 2);
        for (int i = 0; i < 3; i++) {
            owner.offer(run(1), offer(Tier.STANDARD, 60_000));
            owner.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        }
        long starts = owner.actions.stream().filter(a -> a instanceof HostAction.StartRun).count();
        assertEquals(starts, 1);
        owner.finish(run(1));
        owner.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        assertTrue(owner.onEngine.isEmpty());
        assertEquals(owner.ended.get(run(1)), new RunEnd.Finished(50));
    }

    @Test
    public void runsNoMoreThanTheServersSlots() {
        OneServer owner = new OneServer(limits, 2);
        for (int i = 1; i <= 5; i++) {
            owner.offer(run(i), offer(Tier.STANDARD, 600_000));
        }
        assertEquals(owner.onEngine.size(), 2);
    }

    @Test
    public void urgentRequestPreemptsTheLowestTier() {
        OneServer owner = new OneServer(limits, 2);
        owner.handle(new HostEvent.WallClock(23 * HOUR_MILLIS));
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.PATIENT, 8 * HOUR_MILLIS));
        owner.offer(run(3), offer(Tier.URGENT, 10_000));
        owner.advance(400);
        assertEquals(owner.cancelling, Set.of(run(2)));
        assertFalse(owner.onEngine.contains(run(3)));
        owner.confirmCancel(run(2));
        assertEquals(owner.ended.get(run(2)), new RunEnd.Preempted(0));
        assertTrue(owner.onEngine.contains(run(3)));
    }

    @Test
    public void preemptedRunReportsTheResumeOffset() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.tokens(run(1), 0, 7);
        owner.offer(run(2), offer(Tier.URGENT, 10_000));
        owner.advance(300);
        owner.confirmCancel(run(1));
        assertEquals(owner.ended.get(run(1)), new RunEnd.Preempted(7));
    }

    @Test
    public void runThatCouldNotBeRestartedInTimeIsNotPreempted() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.PATIENT, 2_000));
        assertEquals(owner.granted, List.of(run(1)));
        owner.offer(run(2), offer(Tier.URGENT, 60_000));
        owner.advance(500);
        assertTrue(owner.cancelling.isEmpty());
    }

    @Test
    public void protectedRunIsPreemptedBeforeAnUrgentRequestIsShed() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000, 1, limits.maxPreemptions()));
        owner.offer(run(2), offer(Tier.URGENT, 20_000));
        owner.advance(1_000);
        assertTrue(owner.cancelling.isEmpty());
        owner.advance(18_000);
        assertEquals(owner.cancelling, Set.of(run(1)));
        assertFalse(owner.refused.containsKey(run(2)));
    }

    @Test
    public void patientRequestsWaitForTheirWindowUnlessHalfTheSlotsAreFree() {
        OneServer owner = new OneServer(limits, 4);
        long noonMillis = 12 * HOUR_MILLIS;
        owner.handle(new HostEvent.WallClock(noonMillis));
        for (int i = 1; i <= 4; i++) {
            owner.offer(run(i), offer(Tier.PATIENT, 16 * HOUR_MILLIS));
        }
        assertEquals(owner.onEngine.size(), 2);
        owner.handle(new HostEvent.WallClock(noonMillis + 9 * HOUR_MILLIS));
        owner.advance(20);
        assertEquals(owner.onEngine.size(), 4);
    }

    @Test
    public void patientRequestNearItsLatestStartPrecedesStandardRequests() {
        OneServer owner = new OneServer(limits, 2);
        owner.handle(new HostEvent.WallClock(12 * HOUR_MILLIS));
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.STANDARD, 600_000));
        owner.offer(run(3), offer(Tier.STANDARD, 600_000));
        owner.offer(run(4), offer(Tier.PATIENT, 3_500));
        owner.advance(1_000);
        owner.finish(run(1));
        assertTrue(owner.onEngine.contains(run(4)));
        assertFalse(owner.onEngine.contains(run(3)));
    }

    @Test
    public void unusedReservationExpiresAndGoesToTheNextOffer() {
        OneServer owner = new OneServer(limits, 1);
        owner.placesGrantedRuns = false;
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.STANDARD, 600_000));
        assertEquals(owner.granted, List.of(run(1)));
        owner.advance(limits.reservationMillis() + 20);
        assertEquals(owner.granted, List.of(run(1), run(2)));
        owner.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        assertEquals(owner.ended.get(run(1)), new RunEnd.NeverStarted());
    }

    @Test
    public void slotIsHeldUntilTheEngineConfirmsTheCancel() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.STANDARD, 600_000));
        owner.receive(new RoutingMessage.Cancelled(run(1)));
        owner.advance(1_000);
        assertFalse(owner.onEngine.contains(run(2)));
        owner.confirmCancel(run(1));
        assertTrue(owner.onEngine.contains(run(2)));
        assertEquals(owner.ended.get(run(1)), new RunEnd.Cancelled(100));
    }

    @Test
    public void stalledRunIsCancelled() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.tokens(run(1), 0, 1);
        owner.advance(limits.tokenSilenceMillis() + 100);
        assertTrue(owner.cancelling.contains(run(1)));
        owner.confirmCancel(run(1));
        assertEquals(owner.ended.get(run(1)), new RunEnd.Broken(false, true));
    }

    @Test
    public void unconfirmedCancelIsReportedAsUnconfirmed() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.tokens(run(1), 0, 1);
        owner.advance(limits.tokenSilenceMillis() + 5_000);
        assertEquals(owner.ended.get(run(1)), new RunEnd.Broken(false, false));
        assertTrue(owner.core.isIdle());
    }

    @Test
    public void slowCallerPausesItsRunWithoutCancellingIt() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.tokens(run(1), 0, 1_000);
        assertTrue(owner.actions.contains(new HostAction.PauseRun(run(1), true)));
        owner.advance(limits.tokenSilenceMillis() * 2L);
        assertFalse(owner.cancelling.contains(run(1)));
        owner.receive(new RoutingMessage.Credit(run(1), 10));
        assertTrue(owner.actions.contains(new HostAction.PauseRun(run(1), false)));
    }

    @Test
    public void crashedEngineGetsNoRunsDuringTheBackoff() {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.STANDARD, 600_000));
        owner.end(run(1), new RunEnd.Broken(true, true));
        assertEquals(owner.refused.get(run(2)).reason(), RefusalReason.NO_SERVER);
        owner.offer(run(3), offer(Tier.URGENT, 5_000));
        assertEquals(owner.refused.get(run(3)).reason(), RefusalReason.NO_SERVER);
        owner.advance(300);
        owner.offer(run(4), offer(Tier.URGENT, 5_000));
        assertTrue(owner.onEngine.contains(run(4)));
    }

    @DataProvider
    Object[][] closings() {
        FleetSnapshot none = FleetSnapshots.of(List.of(), List.of());
        FleetSnapshot moved =
                FleetSnapshots.of(
                        List.of(
                                FleetSnapshots.host(
                                        "suva-a-h2",
                                        FleetSnapshots.LOCAL_DOMAIN,
                                        EntryHost.State.ALIVE),
                                FleetSnapshots.host(
                                        FleetSnapshots.SELF.value(),
                                        FleetSnapshots.LOCAL_DOMAIN,
                                        EntryHost.State.LEAVING)),
                        List.of(
                                FleetSnapshots.server(
                                        SERVER.value(), FleetSnapshots.LOCAL_DOMAIN, 1)));
        BackendServer leaving =
                FleetSnapshots.server(SERVER.value(), FleetSnapshots.LOCAL_DOMAIN, 1)
                        .withLeaving(true);
        FleetSnapshot left =
                FleetSnapshots.of(
                        List.copyOf(FleetSnapshots.of(1, 1, 0, 1).hosts().values()),
                        List.of(leaving));
        return new Object[][] {
            {new HostEvent.DrainRequested(), RefusalReason.DRAINING},
            {new HostEvent.FleetChanged(none), RefusalReason.NO_SERVER},
            {new HostEvent.FleetChanged(moved), RefusalReason.NOT_HOME},
            {new HostEvent.FleetChanged(left), RefusalReason.NO_SERVER}
        };
    }

    @Test(dataProvider = "closings")
    public void closingRefusesWaitingOffersAndLetsRunsFinish(
            HostEvent event, RefusalReason reason) {
        OneServer owner = new OneServer(limits, 1);
        owner.offer(run(1), offer(Tier.STANDARD, 600_000));
        owner.offer(run(2), offer(Tier.STANDARD, 600_000));
        owner.handle(event);
        assertEquals(owner.refused.get(run(2)).reason(), reason);
        assertTrue(owner.cancelling.isEmpty());
        assertFalse(owner.core.isIdle());
        owner.finish(run(1));
        assertEquals(owner.ended, Map.of(run(1), new RunEnd.Finished(50)));
        assertTrue(owner.core.isIdle());
        owner.offer(run(3), offer(Tier.URGENT, 5_000));
        assertTrue(owner.refused.containsKey(run(3)));
    }

    @Test
    public void fullQueueRefusesTheLowestTier() {
        RoutingLimits small =
                new RoutingLimits(Policy.ORIOLESHED, 1_600, 79, 2, 1_000, 2, 20_000, 5_000);
        OneServer owner = new OneServer(small, 1);
        for (int i = 1; i <= 3; i++) {
            owner.offer(run(i), offer(Tier.STANDARD, 600_000));
        }
        owner.offer(run(4), offer(Tier.URGENT, 10_000));
        assertEquals(owner.refused.keySet(), Set.of(run(3)));
        owner.offer(run(5), offer(Tier.STANDARD, 600_000));
        assertTrue(owner.refused.get(run(5)).expectedWaitMillis() > 0);
    }

    @Test
    public void sendsLoadsToItsOwnFailureDomainAndTotalsToOthers() {
        OneServer owner = new OneServer(limits, 2);
        owner.fleet(FleetSnapshots.of(2, 1, 1, 2));
        owner.advance(1_000);
        long loads = countSent(owner, RoutingMessage.ServerLoads.class);
        long totals = countSent(owner, RoutingMessage.DomainLoads.class);
        assertTrue(loads >= 4, "loads " + loads);
        assertTrue(totals >= 1, "totals " + totals);
    }

    private static long countSent(OneServer owner, Class<? extends RoutingMessage> type) {
        return owner.actions.stream()
                .filter(a -> a instanceof HostAction.SendRouting s && type.isInstance(s.message()))
                .count();
    }
}

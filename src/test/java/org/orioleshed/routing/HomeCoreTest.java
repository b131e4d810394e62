package org.orioleshed.routing;

import static org.orioleshed.routing.OneServer.SERVER;
import static org.orioleshed.routing.Worlds.offer;
import static org.orioleshed.routing.Worlds.run;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.World;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Tier;
import org.orioleshed.routing.RoutingMessage.RefusalReason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HomeCore}. */
public class HomeCoreTest {
    private static final long HOUR_MILLIS = 3_600_000;

    private final RoutingLimits limits = RoutingLimits.DEFAULTS;

    @Test
    public void grantsAFreePlaceAtOnceAndStartsWhatIsPlaced() {
        OneServer home = new OneServer(limits, 2);
        home.offer(run(1), offer(Tier.URGENT, 10_000));
        assertEquals(home.granted, List.of(run(1)));
        assertTrue(home.onEngine.contains(run(1)));
    }

    @Test
    public void repeatedMessagesChangeNothing() {
        OneServer home = new OneServer(limits, 2);
        for (int i = 0; i < 3; i++) {
            home.offer(run(1), offer(Tier.STANDARD, 60_000));
            home.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        }
        long starts = home.actions.stream().filter(a -> a instanceof HostAction.StartRun).count();
        assertEquals(starts, 1);
        home.finish(run(1));
        home.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        assertTrue(home.onEngine.isEmpty());
        assertEquals(home.ended.get(run(1)), new RunEnd.Finished(50));
    }

    @Test
    public void neverRunsMoreThanTheServersPlaces() {
        OneServer home = new OneServer(limits, 2);
        for (int i = 1; i <= 5; i++) {
            home.offer(run(i), offer(Tier.STANDARD, 600_000));
        }
        assertEquals(home.onEngine.size(), 2);
    }

    @Test
    public void urgentWorkPreemptsTheLowestTier() {
        OneServer home = new OneServer(limits, 2);
        home.tell(new HostEvent.WallClock(23 * HOUR_MILLIS));
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.PATIENT, 8 * HOUR_MILLIS));
        home.offer(run(3), offer(Tier.URGENT, 10_000));
        home.pass(400);
        assertEquals(home.cancelling, Set.of(run(2)));
        assertFalse(home.onEngine.contains(run(3)));
        home.confirmCancel(run(2));
        assertEquals(home.ended.get(run(2)), new RunEnd.Preempted(0));
        assertTrue(home.onEngine.contains(run(3)));
    }

    @Test
    public void preemptedRunTellsWhereTheNextAttemptResumes() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.tokens(run(1), 0, 7);
        home.offer(run(2), offer(Tier.URGENT, 10_000));
        home.pass(300);
        home.confirmCancel(run(1));
        assertEquals(home.ended.get(run(1)), new RunEnd.Preempted(7));
    }

    @Test
    public void aRunThatWouldMissItsLastSafeStartIsLetAlone() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.PATIENT, 2_000));
        assertEquals(home.granted, List.of(run(1)));
        home.offer(run(2), offer(Tier.URGENT, 60_000));
        home.pass(500);
        assertTrue(home.cancelling.isEmpty());
    }

    @Test
    public void aProtectedRunYieldsBeforeUrgentWorkIsShed() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000, 1, limits.maxPreemptions()));
        home.offer(run(2), offer(Tier.URGENT, 20_000));
        home.pass(1_000);
        assertTrue(home.cancelling.isEmpty());
        home.pass(18_000);
        assertEquals(home.cancelling, Set.of(run(1)));
        assertFalse(home.refused.containsKey(run(2)));
    }

    @Test
    public void patientWorkWaitsForItsWindowUnlessThereIsRoomToSpare() {
        OneServer home = new OneServer(limits, 4);
        long noonMillis = 12 * HOUR_MILLIS;
        home.tell(new HostEvent.WallClock(noonMillis));
        for (int i = 1; i <= 4; i++) {
            home.offer(run(i), offer(Tier.PATIENT, 16 * HOUR_MILLIS));
        }
        assertEquals(home.onEngine.size(), 2);
        home.tell(new HostEvent.WallClock(noonMillis + 9 * HOUR_MILLIS));
        home.pass(20);
        assertEquals(home.onEngine.size(), 4);
    }

    @Test
    public void patientWorkNearItsLastSafeStartGoesBeforeStandardWork() {
        OneServer home = new OneServer(limits, 2);
        home.tell(new HostEvent.WallClock(12 * HOUR_MILLIS));
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.STANDARD, 600_000));
        home.offer(run(3), offer(Tier.STANDARD, 600_000));
        home.offer(run(4), offer(Tier.PATIENT, 3_500));
        home.pass(1_000);
        home.finish(run(1));
        assertTrue(home.onEngine.contains(run(4)));
        assertFalse(home.onEngine.contains(run(3)));
    }

    @Test
    public void aReservedPlaceThatIsNotUsedGoesToTheNext() {
        OneServer home = new OneServer(limits, 1);
        home.places = false;
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.STANDARD, 600_000));
        assertEquals(home.granted, List.of(run(1)));
        home.pass(limits.reservationMillis() + 20);
        assertEquals(home.granted, List.of(run(1), run(2)));
        home.receive(new RoutingMessage.Placed(run(1), SERVER, Payload.EMPTY, 0, 10));
        assertEquals(home.ended.get(run(1)), new RunEnd.NeverStarted());
    }

    @Test
    public void aPlaceIsTakenUntilTheEngineConfirmsTheCancel() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.STANDARD, 600_000));
        home.receive(new RoutingMessage.Cancelled(run(1)));
        home.pass(1_000);
        assertFalse(home.onEngine.contains(run(2)));
        home.confirmCancel(run(1));
        assertTrue(home.onEngine.contains(run(2)));
        assertEquals(home.ended.get(run(1)), new RunEnd.Cancelled(100));
    }

    @Test
    public void aSilentRunIsGivenUp() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.tokens(run(1), 0, 1);
        home.pass(limits.tokenSilenceMillis() + 100);
        assertTrue(home.cancelling.contains(run(1)));
        home.confirmCancel(run(1));
        assertEquals(home.ended.get(run(1)), new RunEnd.Broken(false, true));
    }

    @Test
    public void anUnconfirmedCancelIsToldAsSuch() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.tokens(run(1), 0, 1);
        home.pass(limits.tokenSilenceMillis() + 5_000);
        assertEquals(home.ended.get(run(1)), new RunEnd.Broken(false, false));
        assertTrue(home.core.isIdle());
    }

    @Test
    public void aSlowCallerPausesItsRunOnly() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.tokens(run(1), 0, 1_000);
        assertTrue(home.actions.contains(new HostAction.PauseRun(run(1), true)));
        home.pass(limits.tokenSilenceMillis() * 2L);
        assertFalse(home.cancelling.contains(run(1)));
        home.receive(new RoutingMessage.Credit(run(1), 10));
        assertTrue(home.actions.contains(new HostAction.PauseRun(run(1), false)));
    }

    @Test
    public void aCrashedEngineGetsNoWorkForAWhile() {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.STANDARD, 600_000));
        home.end(run(1), new RunEnd.Broken(true, true));
        assertEquals(home.refused.get(run(2)).reason(), RefusalReason.NO_SERVER);
        home.offer(run(3), offer(Tier.URGENT, 5_000));
        assertEquals(home.refused.get(run(3)).reason(), RefusalReason.NO_SERVER);
        home.pass(300);
        home.offer(run(4), offer(Tier.URGENT, 5_000));
        assertTrue(home.onEngine.contains(run(4)));
    }

    @DataProvider
    Object[][] closings() {
        World none = Worlds.of(List.of(), List.of());
        World moved =
                Worlds.of(
                        List.of(
                                Worlds.host("suva-a-h2", Worlds.NEAR, EntryHost.State.ALIVE),
                                Worlds.host(
                                        Worlds.SELF.value(), Worlds.NEAR, EntryHost.State.LEAVING)),
                        List.of(Worlds.server(SERVER.value(), Worlds.NEAR, 1)));
        BackendServer leaving = Worlds.server(SERVER.value(), Worlds.NEAR, 1).withLeaving(true);
        World left =
                Worlds.of(List.copyOf(Worlds.of(1, 1, 0, 1).hosts().values()), List.of(leaving));
        return new Object[][] {
            {new HostEvent.DrainAsked(), RefusalReason.DRAINING},
            {new HostEvent.WorldChanged(none), RefusalReason.NO_SERVER},
            {new HostEvent.WorldChanged(moved), RefusalReason.NOT_HOME},
            {new HostEvent.WorldChanged(left), RefusalReason.NO_SERVER}
        };
    }

    @Test(dataProvider = "closings")
    public void whatWaitsIsTurnedDownAndWhatRunsFinishes(HostEvent event, RefusalReason reason) {
        OneServer home = new OneServer(limits, 1);
        home.offer(run(1), offer(Tier.STANDARD, 600_000));
        home.offer(run(2), offer(Tier.STANDARD, 600_000));
        home.tell(event);
        assertEquals(home.refused.get(run(2)).reason(), reason);
        assertTrue(home.cancelling.isEmpty());
        assertFalse(home.core.isIdle());
        home.finish(run(1));
        assertEquals(home.ended, Map.of(run(1), new RunEnd.Finished(50)));
        assertTrue(home.core.isIdle());
        home.offer(run(3), offer(Tier.URGENT, 5_000));
        assertTrue(home.refused.containsKey(run(3)));
    }

    @Test
    public void aFullQueueTurnsTheLowestTierDown() {
        RoutingLimits small =
                new RoutingLimits(Policy.ORIOLESHED, 1_600, 79, 2, 1_000, 2, 20_000, 5_000);
        OneServer home = new OneServer(small, 1);
        for (int i = 1; i <= 3; i++) {
            home.offer(run(i), offer(Tier.STANDARD, 600_000));
        }
        home.offer(run(4), offer(Tier.URGENT, 10_000));
        assertEquals(home.refused.keySet(), Set.of(run(3)));
        home.offer(run(5), offer(Tier.STANDARD, 600_000));
        assertTrue(home.refused.get(run(5)).expectedWaitMillis() > 0);
    }

    @Test
    public void tellsLoadsToItsOwnFailureDomainAndSumsToOthers() {
        OneServer home = new OneServer(limits, 2);
        home.world(Worlds.of(2, 1, 1, 2));
        home.pass(1_000);
        long loads = countSent(home, RoutingMessage.ServerLoads.class);
        long sums = countSent(home, RoutingMessage.DomainLoads.class);
        assertTrue(loads >= 4, "loads " + loads);
        assertTrue(sums >= 1, "sums " + sums);
    }

    private static long countSent(OneServer home, Class<? extends RoutingMessage> type) {
        return home.actions.stream()
                .filter(a -> a instanceof HostAction.SendRouting s && type.isInstance(s.message()))
                .count();
    }
}

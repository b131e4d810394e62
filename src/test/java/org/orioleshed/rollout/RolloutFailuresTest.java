package org.orioleshed.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against missing, repeated or wrong outcomes, and against traffic on a faulty version,
 * while links, the store and hosts fail.
 */
public class RolloutFailuresTest {
    private static final long DURATION_MILLIS = 120_000;
    private static final List<RouteId> ROUTES = FakeFleet.routes(2);
    private static final String KEY = RolloutRecord.key(FakeFleet.ROLLOUT);

    private static FakeFleet fleet(int domains, int hostsPerDomain) {
        FakeFleet fleet =
                new FakeFleet(
                        new SplittableRandom(7), RolloutLimits.DEFAULT, domains, hostsPerDomain);
        fleet.plan(FakeFleet.ROLLOUT, ROUTES, DURATION_MILLIS);
        return fleet;
    }

    /**
     * Advances the clock with healthy traffic; the new version gets runs only where its share is
     * positive.
     */
    private static void healthy(FakeFleet fleet, long millis) {
        traffic(fleet, millis, RunResult.Verdict.OK);
    }

    private static void traffic(FakeFleet fleet, long millis, RunResult.Verdict onNew) {
        for (long passed = 0; passed < millis; passed += 500) {
            fleet.traffic(ROUTES, FakeFleet.OLD, RunResult.Verdict.OK, 8);
            for (FakeFleet.Host host : fleet.hosts.values()) {
                for (RouteId route : ROUTES) {
                    if (host.share(route) > 0) {
                        RunResult result = fleet.result(onNew, 0.2);
                        fleet.observe(host, route, FakeFleet.NEW, result);
                    }
                }
            }
            fleet.step(500);
        }
    }

    private static RolloutState state(FakeFleet fleet) {
        return fleet.store.record(FakeFleet.ROLLOUT).state();
    }

    private static HostId coordinator(FakeFleet fleet) {
        for (FakeFleet.Host host : fleet.hosts.values()) {
            if (host.core.status(fleet.nowNanos).get(0).coordinatorFence() > 0) {
                return host.id;
            }
        }
        throw new AssertionError("no coordinator");
    }

    private static void assertOneOutcome(FakeFleet fleet, RolloutState expected) {
        assertEquals(state(fleet), expected);
        assertEquals(fleet.store.outcomes.get(KEY), Integer.valueOf(1));
        RolloutAction.Notice.Kind kind =
                expected == RolloutState.COMPLETED
                        ? RolloutAction.Notice.Kind.COMPLETED
                        : RolloutAction.Notice.Kind.TAKEN_BACK;
        for (FakeFleet.Host host : fleet.hosts.values()) {
            assertEquals(host.count(kind), 1, host.id + " kind " + host.notices);
            assertEquals(
                    host.split.currentVersions().get(ROUTES.get(0)),
                    expected == RolloutState.COMPLETED ? FakeFleet.NEW : FakeFleet.OLD);
        }
    }

    @Test
    public void healthyVersionCompletesBeforeTheDeadline() {
        FakeFleet fleet = fleet(2, 2);
        healthy(fleet, DURATION_MILLIS - RolloutLimits.DEFAULT.propagationMillis());
        assertOneOutcome(fleet, RolloutState.COMPLETED);
    }

    @Test
    public void rolloutWithoutTrafficIsRolledBack() {
        FakeFleet fleet = fleet(2, 1);
        fleet.run(DURATION_MILLIS, 500);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    @DataProvider
    Object[][] losses() {
        return new Object[][] {{0.0}, {0.3}, {0.6}};
    }

    @Test(dataProvider = "losses")
    public void breakerTripsOverLossyLinks(double loss) {
        FakeFleet fleet = fleet(2, 3);
        healthy(fleet, 20_000);
        fleet.linkLoss = loss;
        fleet.store.unavailable = true;
        FakeFleet.Host first = fleet.hosts.values().iterator().next();
        for (int i = 0; i < 10; i++) {
            RunResult failed = fleet.result(RunResult.Verdict.FAILED, 0.2);
            fleet.observe(first, ROUTES.get(0), FakeFleet.NEW, failed);
        }
        assertEquals(first.share(ROUTES.get(0)), 0.0, "own breaker trips at once");
        fleet.run(1_000, 100);
        for (FakeFleet.Host host : fleet.hosts.values()) {
            assertEquals(host.share(ROUTES.get(1)), 0.0, host.id + " within a second");
        }
        fleet.linkLoss = 0;
        fleet.store.unavailable = false;
        healthy(fleet, 30_000);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    @Test
    public void trippedBreakerStaysTripped() {
        FakeFleet fleet = fleet(1, 2);
        healthy(fleet, 20_000);
        fleet.store.unavailable = true;
        traffic(fleet, 20_000, RunResult.Verdict.FAILED);
        healthy(fleet, 40_000);
        for (FakeFleet.Host host : fleet.hosts.values()) {
            assertEquals(host.count(RolloutAction.Notice.Kind.FUSE), 1);
            assertEquals(host.share(ROUTES.get(0)), 0.0);
        }
    }

    @Test
    public void storeOutagePastTheDeadlineRollsBack() {
        FakeFleet fleet = fleet(2, 2);
        healthy(fleet, 30_000);
        fleet.store.unavailable = true;
        healthy(fleet, DURATION_MILLIS);
        for (FakeFleet.Host host : fleet.hosts.values()) {
            assertEquals(host.share(ROUTES.get(0)), 0.0);
            assertTrue(host.hasNotice(RolloutAction.Notice.Kind.CONCLUDED_BACK));
        }
        fleet.store.unavailable = false;
        healthy(fleet, 30_000);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    @Test
    public void pausedCoordinatorStopsBeforeItActs() {
        FakeFleet fleet = fleet(2, 2);
        healthy(fleet, 10_000);
        HostId coordinator = coordinator(fleet);
        RolloutCore core = fleet.hosts.get(coordinator).core;
        long fence = core.status(fleet.nowNanos).get(0).coordinatorFence();
        fleet.paused.add(coordinator);
        healthy(fleet, 30_000);
        assertEquals(core.status(fleet.nowNanos).get(0).coordinatorFence(), 0);
        fleet.paused.clear();
        List<RolloutAction> actions =
                core.on(fleet.nowNanos, new RolloutEvent.Tick(fleet.epochMillis()));
        assertFalse(actions.stream().anyMatch(RolloutAction.SwapRecord.class::isInstance));
        assertTrue(
                fleet.store.record(FakeFleet.ROLLOUT).fence() > fence,
                "another coordinator took over");
        healthy(fleet, DURATION_MILLIS - 45_000);
        assertOneOutcome(fleet, RolloutState.COMPLETED);
    }

    @DataProvider
    Object[][] lostAnswers() {
        return new Object[][] {{true, 1}, {false, 1}, {true, 50}, {false, 10}};
    }

    @Test(dataProvider = "lostAnswers")
    public void lostAnswersAreSettledByReadingBack(boolean takeEffect, int count) {
        FakeFleet fleet = fleet(2, 2);
        fleet.store.lostTakeEffect = takeEffect;
        fleet.store.loseAnswers = count;
        healthy(fleet, DURATION_MILLIS);
        assertOneOutcome(fleet, RolloutState.COMPLETED);
    }

    @Test
    public void earlierOfTwoConflictingRolloutsContinues() {
        FakeFleet fleet = fleet(2, 2);
        RolloutId second = new RolloutId("m2");
        fleet.plan(second, ROUTES.subList(0, 1), DURATION_MILLIS);
        healthy(fleet, DURATION_MILLIS);
        assertOneOutcome(fleet, RolloutState.COMPLETED);
        assertEquals(fleet.store.record(second).state(), RolloutState.TAKEN_BACK);
        assertEquals(fleet.store.outcomes.get(RolloutRecord.key(second)), Integer.valueOf(1));
    }

    @Test
    public void plainServiceRollsOutLastWithTheSmallestShare() {
        FakeFleet fleet = fleet(1, 2);
        RouteId bookings = new RouteId("bookings");
        RolloutId service = new RolloutId("m2");
        RolloutRecord record =
                RolloutRecord.plan(
                        service,
                        new Target.Service(new ServiceId("bookings")),
                        FakeFleet.OLD,
                        FakeFleet.NEW,
                        List.of(bookings),
                        fleet.epochMillis(),
                        fleet.epochMillis() + 3 * DURATION_MILLIS,
                        List.of(),
                        "operator",
                        "test");
        fleet.store.put(RolloutRecord.key(service), record.toPayload());
        healthy(fleet, DURATION_MILLIS / 2);
        assertEquals(fleet.store.record(service).state(), RolloutState.PLANNED);
        healthy(fleet, DURATION_MILLIS / 2);
        assertOneOutcome(fleet, RolloutState.COMPLETED);
        healthy(fleet, 5_000);
        assertEquals(fleet.store.record(service).state(), RolloutState.RUNNING);
        for (FakeFleet.Host host : fleet.hosts.values()) {
            assertTrue(host.share(bookings) < RolloutLimits.DEFAULT.shares().get(0));
        }
    }

    @Test
    public void noStepWhileADomainIsPartitioned() {
        FakeFleet fleet = fleet(2, 2);
        healthy(fleet, 2_000);
        HostId partitionedHost = partitionDomain(fleet, "d1");
        healthy(fleet, RolloutLimits.DEFAULT.freshMillis() + 500);
        int step = fleet.store.record(FakeFleet.ROLLOUT).step();
        assertTrue(step < RolloutLimits.DEFAULT.lastStep(), "steps are left: " + step);
        healthy(fleet, DURATION_MILLIS / 2);
        assertEquals(fleet.store.record(FakeFleet.ROLLOUT).step(), step);
        healthy(fleet, DURATION_MILLIS);
        assertEquals(state(fleet), RolloutState.TAKEN_BACK);
        FakeFleet.Host partitioned = fleet.hosts.get(partitionedHost);
        assertEquals(partitioned.share(ROUTES.get(0)), 0.0);
        assertTrue(partitioned.hasNotice(RolloutAction.Notice.Kind.CONCLUDED_BACK));
        healPartitions(fleet);
        healthy(fleet, 10_000);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    @Test
    public void faultInAPartitionedDomainTripsTheBreakerThere() {
        FakeFleet fleet = fleet(2, 2);
        healthy(fleet, 20_000);
        HostId partitionedHost = partitionDomain(fleet, "d1");
        FakeFleet.Host partitioned = fleet.hosts.get(partitionedHost);
        for (int i = 0; i < 10; i++) {
            RunResult failed = fleet.result(RunResult.Verdict.FAILED, 0.2);
            fleet.observe(partitioned, ROUTES.get(0), FakeFleet.NEW, failed);
        }
        assertEquals(partitioned.share(ROUTES.get(0)), 0.0);
        fleet.run(1_000, 100);
        for (FakeFleet.Host host : fleet.hosts.values()) {
            boolean expectTripped = host.domain.equals(partitioned.domain);
            assertEquals(
                    host.share(ROUTES.get(0)) == 0,
                    expectTripped,
                    host.id + " has tripped its breaker");
        }
        healPartitions(fleet);
        healthy(fleet, 10_000);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    private static HostId partitionDomain(FakeFleet fleet, String domain) {
        HostId last = null;
        for (FakeFleet.Host host : fleet.hosts.values()) {
            if (host.domain.value().equals(domain)) {
                fleet.partition(host.id, 1);
                fleet.store.disconnected.add(host.id);
                last = host.id;
            }
        }
        return last;
    }

    private static void healPartitions(FakeFleet fleet) {
        fleet.hosts.keySet().forEach(id -> fleet.partition(id, 0));
        fleet.store.disconnected.clear();
    }

    @Test
    public void contentThatCrashesServersDoesNotTripTheBreaker() {
        FakeFleet fleet = fleet(1, 1);
        healthy(fleet, 30_000);
        FakeFleet.Host host = fleet.hosts.values().iterator().next();
        Fingerprint poison = new Fingerprint(1, 1);
        for (int crash = 0; crash < 20; crash++) {
            crashOnNew(host, fleet, poison);
            for (int other = 0; other < 6; other++) {
                crashOnNew(host, fleet, new Fingerprint(crash, 100 + other));
            }
            healthy(fleet, 3_000);
        }
        assertEquals(host.count(RolloutAction.Notice.Kind.FUSE), 0);
    }

    private static void crashOnNew(FakeFleet.Host host, FakeFleet fleet, Fingerprint content) {
        RunResult crash = new RunResult(RunResult.Verdict.CRASHED, 10, 0, 0, 0, 0.2, content);
        fleet.observe(host, ROUTES.get(0), FakeFleet.NEW, crash);
    }

    @Test
    public void versionThatCrashesOnAnyContentIsRolledBack() {
        FakeFleet fleet = fleet(1, 1);
        healthy(fleet, 30_000);
        FakeFleet.Host host = fleet.hosts.values().iterator().next();
        for (int crash = 0; crash < 8; crash++) {
            crashOnNew(host, fleet, new Fingerprint(crash, 1));
            fleet.step(2_500);
        }
        fleet.step(500);
        assertOneOutcome(fleet, RolloutState.TAKEN_BACK);
    }

    @Test
    public void interruptedRunsDoNotTripTheBreaker() {
        FakeFleet fleet = fleet(1, 1);
        healthy(fleet, 20_000);
        traffic(fleet, 40_000, RunResult.Verdict.INTERRUPTED);
        FakeFleet.Host host = fleet.hosts.values().iterator().next();
        assertEquals(host.count(RolloutAction.Notice.Kind.FUSE), 0);
    }

    @Test
    public void versionThatHangsUntilRunsAreInterruptedTripsTheBreaker() {
        FakeFleet fleet = fleet(1, 1);
        healthy(fleet, 20_000);
        FakeFleet.Host host = fleet.hosts.values().iterator().next();
        for (int i = 0; i < 20; i++) {
            Fingerprint content = new Fingerprint(i, 5);
            RunResult hung =
                    new RunResult(RunResult.Verdict.INTERRUPTED, 9_000, 0, 0, 0, 0.2, content);
            fleet.observe(host, ROUTES.get(0), FakeFleet.NEW, hung);
        }
        assertTrue(host.hasNotice(RolloutAction.Notice.Kind.FUSE));
    }

    @Test
    public void faultAfterCompletionRestoresTheOldVersionAndKeepsTheOutcome() {
        FakeFleet fleet = fleet(1, 2);
        healthy(fleet, DURATION_MILLIS);
        FakeFleet.Host host = fleet.hosts.values().iterator().next();
        for (int i = 0; i < 10; i++) {
            RunResult failed = fleet.result(RunResult.Verdict.FAILED, 0.2);
            fleet.observe(host, ROUTES.get(0), FakeFleet.NEW, failed);
        }
        fleet.run(1_000, 100);
        for (FakeFleet.Host each : fleet.hosts.values()) {
            assertTrue(each.hasNotice(RolloutAction.Notice.Kind.FAULT_AFTER_COMPLETION));
            assertEquals(each.split.currentVersions().get(ROUTES.get(0)), FakeFleet.OLD);
        }
        assertEquals(state(fleet), RolloutState.COMPLETED);
        assertEquals(fleet.store.outcomes.get(KEY), Integer.valueOf(1));
    }

    @Test
    public void newCoordinatorOrdersLoadsOnlyAfterTheOldLeaseHasEnded() {
        RolloutRecord record =
                RolloutRecord.plan(
                        FakeFleet.ROLLOUT,
                        FakeFleet.LETTERS,
                        FakeFleet.OLD,
                        FakeFleet.NEW,
                        ROUTES,
                        1,
                        2,
                        List.of(new ServerId("d0-new"), new ServerId("d1-new")),
                        "operator",
                        "test");
        FakeFleet fleet = new FakeFleet(new SplittableRandom(1), RolloutLimits.DEFAULT, 2, 1);
        LoadOrderScheduler plan = new LoadOrderScheduler(record, RolloutLimits.DEFAULT);
        assertEquals(plan.tick(0, 5, 0, withoutFencing(fleet)), List.of());
        long oldLeaseMillis =
                RolloutLimits.DEFAULT.leaseMillis() + RolloutLimits.DEFAULT.leaseMarginMillis();
        List<RolloutAction> late =
                plan.tick(
                        oldLeaseMillis * RolloutCore.NANOS_PER_MILLI, 5, 0, withoutFencing(fleet));
        assertEquals(late.size(), 1, "one load at a time: " + late);
        plan.onState(new ServerId("d0-new"), FakeFleet.NEW);
        plan.onState(new ServerId("d1-new"), FakeFleet.NEW);
        assertTrue(plan.isDone());
    }

    private static FleetSnapshot withoutFencing(FakeFleet fleet) {
        return FakeFleet.withFencing(fleet.snapshot, false);
    }
}

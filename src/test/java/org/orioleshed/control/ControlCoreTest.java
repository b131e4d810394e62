package org.orioleshed.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.settings.ProposalResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Several control cores with one store, on a stepped clock. Guards against settings that revert or
 * do not reach every host after lost messages, store outages, restarts and partitions, and against
 * store load that grows with the fleet.
 */
public class ControlCoreTest {
    private static final long IN_FORCE_TIMEOUT_MILLIS = 3_000;
    private static final long LEAVING_TIMEOUT_MILLIS = 3_000;
    private static final long JOIN_TIMEOUT_MILLIS = 20_000;
    private static final String TREE =
            "{\"servers\":{\"items\":{\"s1\":{\"domain\":\"domain-0\",\"address\":"
                    + "\"http://127.0.0.1:9\",\"model\":\"m\",\"version\":\"v1\"}}}}";

    private static ControlFleet joined(int size, long seed) {
        ControlFleet fleet = new ControlFleet(size, TREE, seed);
        fleet.runUntil(() -> fleet.allSee(size) && fleet.allHave(1), JOIN_TIMEOUT_MILLIS);
        assertTrue(fleet.allSee(size) && fleet.allHave(1));
        return fleet;
    }

    private static void assertNeverReverted(ControlFleet fleet) {
        for (ControlFleet.Host host : fleet.hosts.values()) {
            long highest = 0;
            for (FleetSnapshot snapshot : host.snapshots) {
                assertTrue(snapshot.settingsRevision() >= highest, host.id.toString());
                highest = snapshot.settingsRevision();
            }
        }
    }

    private static long accepted(CompletableFuture<ProposalResult> answer) {
        assertTrue(answer.isDone());
        return ((ProposalResult.Accepted) answer.join()).number();
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {45}, {133}};
    }

    @Test(dataProvider = "sizes")
    public void acceptedChangeIsInForceOnEveryHost(int size) {
        ControlFleet fleet = joined(size, 1);
        CompletableFuture<ProposalResult> answer = fleet.propose(3, "c1", Optional.empty());
        long millis = fleet.runUntil(() -> fleet.allHave(2), IN_FORCE_TIMEOUT_MILLIS);
        System.out.printf("hosts=%d inForceMillis=%d%n", size, millis);
        assertEquals(accepted(answer), 2);
        assertTrue(fleet.allHave(2));
        CompletableFuture<ControlStatus> status = fleet.status(1);
        fleet.runMillis(1_200);
        assertTrue(status.join().inForceEverywhere(), status.join().missing().toString());
    }

    @DataProvider
    Object[][] lossRates() {
        return new Object[][] {{0.05}, {0.2}};
    }

    @Test(dataProvider = "lossRates")
    public void lossyLinksNeverRevertAChange(double loss) {
        ControlFleet fleet = joined(45, 2);
        fleet.lossRate = loss;
        for (int i = 0; i < 5; i++) {
            accepted(run(fleet, fleet.propose(i * 3, "c" + i, Optional.empty())));
        }
        fleet.runUntil(() -> fleet.allHave(6), IN_FORCE_TIMEOUT_MILLIS);
        assertTrue(fleet.allHave(6));
        assertNeverReverted(fleet);
    }

    private static CompletableFuture<ProposalResult> run(
            ControlFleet fleet, CompletableFuture<ProposalResult> answer) {
        fleet.runUntil(answer::isDone, IN_FORCE_TIMEOUT_MILLIS);
        return answer;
    }

    @Test
    public void oneOfTwoConcurrentChangesIsAcceptedAndTheOtherConflicts() {
        ControlFleet fleet = joined(8, 3);
        CompletableFuture<ProposalResult> first = fleet.propose(0, "first", Optional.of(1L));
        CompletableFuture<ProposalResult> second = fleet.propose(1, "second", Optional.of(1L));
        fleet.runMillis(500);
        assertEquals(accepted(first), 2);
        ProposalResult.Conflict conflict = (ProposalResult.Conflict) second.join();
        assertEquals(conflict.presentNumber(), 2);
        assertEquals(conflict.since().getFirst().id(), "first");
    }

    @Test
    public void changeWhoseStoreAnswerIsLostIsAcceptedOnce() {
        ControlFleet fleet = joined(8, 4);
        fleet.store.loseAnswers(1);
        assertEquals(accepted(run(fleet, fleet.propose(0, "c1", Optional.of(1L)))), 2);
        fleet.runMillis(1_000);
        assertTrue(fleet.allHave(2));
        assertEquals(accepted(run(fleet, fleet.propose(5, "c1", Optional.of(1L)))), 2);
    }

    @Test
    public void hostsKeepSettingsDuringStoreOutageAndNewHostGetsThemFromPeers() {
        ControlFleet fleet = joined(8, 5);
        accepted(run(fleet, fleet.propose(0, "c1", Optional.empty())));
        fleet.runMillis(1_000);
        fleet.store.setUnavailable(true);
        fleet.runMillis(10_000);
        assertTrue(fleet.allHave(2));
        ControlFleet.Host fresh = fleet.start(2, 2);
        fleet.runUntil(() -> fresh.snapshot().settingsRevision() == 2, IN_FORCE_TIMEOUT_MILLIS);
        assertEquals(fresh.snapshot().settingsRevision(), 2);
        CompletableFuture<ProposalResult> answer = fleet.propose(0, "c2", Optional.empty());
        CompletableFuture<ControlStatus> status = fleet.status(2);
        fleet.runMillis(1_500);
        assertEquals(answer.join().getClass(), ProposalResult.StoreUnavailable.class);
        assertTrue(status.join().own().unconfirmed());
        fleet.store.setUnavailable(false);
        fleet.runMillis(15_000);
        CompletableFuture<ControlStatus> after = fleet.status(2);
        fleet.runMillis(1_500);
        assertFalse(after.join().own().unconfirmed());
        assertNeverReverted(fleet);
    }

    @Test
    public void restartedHostAdoptsHighestRevisionOfItsPeers() {
        ControlFleet fleet = joined(8, 6);
        HostId stale = ControlFleet.id(7);
        fleet.isCut = (from, to) -> from.equals(stale) || to.equals(stale);
        fleet.store.setUnavailable(true);
        fleet.runMillis(100);
        fleet.store.setUnavailable(false);
        accepted(run(fleet, fleet.propose(0, "c1", Optional.empty())));
        fleet.store.setUnavailable(true);
        fleet.runMillis(2_000);
        fleet.isCut = (from, to) -> false;
        ControlFleet.Host fresh = fleet.start(1, 2);
        fleet.runUntil(() -> fleet.allHave(2), JOIN_TIMEOUT_MILLIS);
        assertEquals(fresh.snapshot().settingsRevision(), 2);
        assertTrue(fleet.allHave(2));
        assertNeverReverted(fleet);
    }

    @Test
    public void storeRestoredFromOldBackupIsRefused() {
        ControlFleet fleet = joined(8, 7);
        accepted(run(fleet, fleet.propose(0, "c1", Optional.empty())));
        Map<String, Payload> backup = fleet.store.backup();
        accepted(run(fleet, fleet.propose(0, "c2", Optional.empty())));
        fleet.runMillis(1_000);
        fleet.store.restore(backup);
        fleet.runMillis(10_000);
        assertTrue(fleet.allHave(3));
        ProposalResult refused = run(fleet, fleet.propose(4, "c3", Optional.empty())).join();
        assertEquals(refused.getClass(), ProposalResult.Refused.class);
        assertNeverReverted(fleet);
    }

    @Test
    public void leavingMarkOfServerReachesEveryHostAndIsCleared() {
        ControlFleet fleet = joined(45, 8);
        fleet.store.put("platform/servers/s1", "{\"state\":\"leaving\"}");
        fleet.runMillis(LEAVING_TIMEOUT_MILLIS);
        ServerId server = new ServerId("s1");
        for (ControlFleet.Host host : fleet.hosts.values()) {
            assertTrue(host.snapshot().servers().get(server).leaving());
        }
        fleet.store.put("platform/servers/s1", "{\"state\":\"live\"}");
        fleet.runMillis(LEAVING_TIMEOUT_MILLIS);
        for (ControlFleet.Host host : fleet.hosts.values()) {
            assertFalse(host.snapshot().servers().get(server).leaving());
        }
    }

    @Test
    public void drainingHostTakesNoWork() {
        ControlFleet fleet = joined(8, 9);
        fleet.host(3).events.add(new ControlEvent.DrainRequested());
        fleet.runMillis(LEAVING_TIMEOUT_MILLIS);
        for (ControlFleet.Host host : fleet.hosts.values()) {
            EntryHost seen = host.snapshot().hosts().get(ControlFleet.id(3));
            assertFalse(seen.takesWork());
        }
    }

    @Test(dataProvider = "sizes")
    public void storeCallsDoNotGrowWithFleetSize(int size) {
        ControlFleet fleet = joined(size, 10);
        fleet.runMillis(5_000);
        int before = fleet.store.calls();
        fleet.runMillis(30_000);
        int calls = fleet.store.calls() - before;
        System.out.printf("hosts=%d storeCallsPerSecond=%.1f%n", size, calls / 30.0);
        assertTrue(calls <= 8 * 30 * 2, "calls " + calls);
        assertTrue(fleet.store.watches() <= 8 * 2);
    }

    @Test
    public void eachSideOfPartitionKeepsItsSettings() {
        ControlFleet fleet = joined(8, 11);
        List<HostId> left = List.of(ControlFleet.id(0), ControlFleet.id(4));
        fleet.isCut = (from, to) -> left.contains(from) != left.contains(to);
        fleet.runMillis(15_000);
        assertEquals(fleet.host(0).snapshot().hosts().size(), 2);
        assertEquals(fleet.host(1).snapshot().hosts().size(), 6);
        accepted(run(fleet, fleet.propose(1, "c1", Optional.empty())));
        fleet.runUntil(() -> fleet.allHave(2), IN_FORCE_TIMEOUT_MILLIS);
        assertTrue(fleet.allHave(2));
    }
}

package org.orioleshed.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.rollout.ServerOrder;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.settings.PeerSeed;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.ProposedChange;
import org.orioleshed.settings.SettingsEdit;
import org.orioleshed.store.MemoryStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Three {@link ControlDuty} instances in one process, each with its own thread. Guards against
 * changes that do not reach all hosts and against requests that stay unanswered when a duty stops.
 */
public class ControlDutyTest {
    private static final int HOSTS = 3;
    private static final long SNAPSHOT_TIMEOUT_SECONDS = 60;
    private static final long STOP_TIMEOUT_SECONDS = 10;
    private static final FailureDomain DOMAIN = new FailureDomain("suva-a");

    private final Map<HostId, ControlDuty> duties = new ConcurrentHashMap<>();
    private final List<SnapshotWaiter> snapshots = new ArrayList<>();
    private MemoryStore store;

    /** Waits for a fleet snapshot that meets a condition. */
    private static final class SnapshotWaiter {
        private FleetSnapshot latest = FleetSnapshot.EMPTY;
        private Predicate<FleetSnapshot> condition = snapshot -> false;
        private CountDownLatch seen = new CountDownLatch(1);

        synchronized void take(FleetSnapshot snapshot) {
            latest = snapshot;
            if (condition.test(snapshot)) {
                seen.countDown();
            }
        }

        void await(Predicate<FleetSnapshot> awaited) throws InterruptedException {
            CountDownLatch latch = new CountDownLatch(1);
            synchronized (this) {
                condition = awaited;
                seen = latch;
                if (awaited.test(latest)) {
                    latch.countDown();
                }
            }
            assertTrue(latch.await(SNAPSHOT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private record Link(HostId self, Map<HostId, ControlDuty> duties) implements PeerPort {
        @Override
        public void setAddress(HostId host, InetSocketAddress address) {}

        @Override
        public boolean send(HostId to, MessageKind kind, byte[] body) {
            ControlDuty duty = duties.get(to);
            if (duty != null) {
                duty.peerReceived(self, kind, body);
            }
            return duty != null;
        }
    }

    private static final class NoOrders implements ServerOrders {
        @Override
        public CompletableFuture<Boolean> order(
                BackendServer server, ServerOrder order, long fence) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<Optional<VersionId>> version(BackendServer server) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    }

    private static HostId id(int i) {
        return new HostId("entry-" + i);
    }

    private static InetSocketAddress address(int i) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + i);
    }

    @BeforeMethod
    public void startAll() {
        store = new MemoryStore();
        store.put("orioleshed/settings/tree", "{}");
        snapshots.clear();
        for (int i = 0; i < HOSTS; i++) {
            SnapshotWaiter seen = new SnapshotWaiter();
            snapshots.add(seen);
            duties.put(id(i), duty(i, seen));
        }
        duties.values().forEach(ControlDuty::start);
    }

    private ControlDuty duty(int i, SnapshotWaiter seen) {
        return new ControlDuty(
                settings(i),
                1,
                store,
                new Link(id(i), duties),
                new NoOrders(),
                seen::take,
                System::nanoTime,
                InstantSource.system(),
                new Random(i));
    }

    private static EntrySettings settings(int i) {
        List<PeerSeed> peers = new ArrayList<>();
        for (int p = 0; p < HOSTS; p++) {
            if (p != i) {
                peers.add(new PeerSeed(id(p), DOMAIN, address(p)));
            }
        }
        return new EntrySettings(
                id(i),
                DOMAIN,
                address(i),
                address(i),
                Optional.empty(),
                peers,
                List.of(URI.create("http://127.0.0.1:1")),
                List.of(),
                0,
                EntrySettings.Policy.ORIOLESHED);
    }

    @AfterMethod
    public void closeAll() {
        duties.values().forEach(ControlDuty::close);
        duties.clear();
    }

    private void awaitAll(Predicate<FleetSnapshot> condition) throws InterruptedException {
        for (SnapshotWaiter each : snapshots) {
            each.await(condition);
        }
    }

    @Test
    public void acceptedChangeIsInForceOnAllHosts() throws InterruptedException {
        awaitAll(snapshot -> snapshot.hosts().size() == HOSTS && snapshot.settingsRevision() == 1);
        ProposedChange change =
                new ProposedChange(
                        "c1",
                        "litia",
                        "test",
                        Optional.of(1L),
                        List.of(SettingsEdit.set("/limits/moveSpreadMillis", "2000")));
        ProposalResult result = duties.get(id(0)).propose(change).join();
        assertEquals(((ProposalResult.Accepted) result).number(), 2);
        awaitAll(snapshot -> snapshot.settingsRevision() == 2);
        assertTrue(duties.get(id(1)).status().join().inForceEverywhere());
        assertEquals(duties.get(id(2)).document().join().orElseThrow().changeId(), "c1");
    }

    @Test
    public void changeQueuedWhenTheDutyStopsIsAnswered() throws Exception {
        store.setSlow(true);
        ControlDuty stopped = duty(0, new SnapshotWaiter());
        CompletableFuture<ProposalResult> answer =
                stopped.propose(
                        new ProposedChange(
                                "c1",
                                "litia",
                                "test",
                                Optional.empty(),
                                List.of(SettingsEdit.set("/limits/moveSpreadMillis", "2000"))));
        stopped.close();
        stopped.start();
        ProposalResult result = answer.get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(result instanceof ProposalResult.InDoubt, "" + result);
    }

    @Test
    public void peersSeeDrainingHostAsLeaving() throws InterruptedException {
        awaitAll(snapshot -> snapshot.hosts().size() == HOSTS);
        duties.get(id(1)).drain();
        awaitAll(
                snapshot ->
                        snapshot.hosts().get(id(1)) != null
                                && snapshot.hosts().get(id(1)).state() == EntryHost.State.LEAVING);
    }
}

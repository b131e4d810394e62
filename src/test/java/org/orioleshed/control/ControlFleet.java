package org.orioleshed.control;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
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

/** Control cores of several hosts with lossy links, one store and a clock stepped by the test. */
final class ControlFleet {
    static final String TREE_KEY = "orioleshed/settings/tree";
    private static final long STEP_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int STEPS_PER_TICK = 5;
    private static final int DOMAINS = 4;

    private record InFlightMessage(HostId from, HostId to, MessageKind kind, Payload body) {}

    /** Accepts no orders. */
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

    /** One host of the fleet. */
    static final class Host implements PeerPort {
        final HostId id;
        final ControlCore core;
        final ArrayDeque<ControlEvent> events = new ArrayDeque<>();
        final List<FleetSnapshot> snapshots = new ArrayList<>();
        long bytesSent;
        long messagesSent;
        private final ControlFleet fleet;

        Host(ControlFleet fleet, EntrySettings settings, long incarnation) {
            this.fleet = fleet;
            this.id = settings.host();
            this.core =
                    new ControlCore(
                            settings,
                            incarnation,
                            fleet.store,
                            this,
                            snapshots::add,
                            () -> Instant.ofEpochMilli(1 + fleet.nowMillis()),
                            events::add,
                            new NoOrders(),
                            new Random(fleet.random.nextLong()));
        }

        FleetSnapshot snapshot() {
            return snapshots.getLast();
        }

        @Override
        public void setAddress(HostId host, InetSocketAddress address) {}

        @Override
        public boolean send(HostId to, MessageKind kind, byte[] body) {
            bytesSent += body.length;
            messagesSent++;
            if (fleet.random.nextDouble() >= fleet.lossRate && !fleet.isCut.test(id, to)) {
                fleet.inFlight.add(new InFlightMessage(id, to, kind, Payload.of(body)));
            }
            return true;
        }
    }

    final MemoryStore store = new MemoryStore();
    final Map<HostId, Host> hosts = new LinkedHashMap<>();
    double lossRate;
    BiPredicate<HostId, HostId> isCut = (from, to) -> false;
    private final Random random;
    private final int size;
    private List<InFlightMessage> inFlight = new ArrayList<>();
    private long step;

    ControlFleet(int size, String tree, long seed) {
        this.size = size;
        this.random = new Random(seed);
        store.put(TREE_KEY, tree);
        for (int i = 0; i < size; i++) {
            start(i, 1);
        }
    }

    static HostId id(int i) {
        return new HostId("entry-" + i);
    }

    private static InetSocketAddress address(int i) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + i);
    }

    private static FailureDomain domain(int i) {
        return new FailureDomain("domain-" + i % DOMAINS);
    }

    /** Starts a host, replacing a previous incarnation. */
    Host start(int i, long incarnation) {
        List<PeerSeed> peers = new ArrayList<>();
        for (int p = 0; p < size; p++) {
            if (p != i) {
                peers.add(new PeerSeed(id(p), domain(p), address(p)));
            }
        }
        EntrySettings settings =
                new EntrySettings(
                        id(i),
                        domain(i),
                        address(i),
                        address(i),
                        Optional.empty(),
                        peers,
                        List.of(URI.create("http://127.0.0.1:1")),
                        List.of(),
                        0,
                        EntrySettings.Policy.ORIOLESHED);
        Host host = new Host(this, settings, incarnation);
        hosts.put(id(i), host);
        host.core.start(nowNanos());
        host.core.publish();
        return host;
    }

    Host host(int i) {
        return hosts.get(id(i));
    }

    long nowNanos() {
        return step * STEP_MILLIS * NANOS_PER_MILLI;
    }

    long nowMillis() {
        return step * STEP_MILLIS;
    }

    void runMillis(long millis) {
        for (long done = 0; done < millis; done += STEP_MILLIS) {
            step();
        }
    }

    /** Steps until {@code done}; returns the simulated time taken, in milliseconds. */
    long runUntil(BooleanSupplier done, long limitMillis) {
        long millis = 0;
        while (!done.getAsBoolean() && millis < limitMillis) {
            step();
            millis += STEP_MILLIS;
        }
        return millis;
    }

    private void step() {
        step++;
        List<InFlightMessage> arriving = inFlight;
        inFlight = new ArrayList<>();
        for (InFlightMessage message : arriving) {
            Host host = hosts.get(message.to());
            if (host != null) {
                host.events.add(
                        new ControlEvent.PeerMessage(
                                message.from(), message.kind(), message.body()));
            }
        }
        int index = 0;
        for (Host host : List.copyOf(hosts.values())) {
            if (step % STEPS_PER_TICK == index++ % STEPS_PER_TICK) {
                host.core.tick(nowNanos());
            }
            while (!host.events.isEmpty()) {
                host.core.on(nowNanos(), host.events.poll());
            }
            host.core.publish();
        }
    }

    /** Proposes a change of one limit at one host. */
    CompletableFuture<ProposalResult> propose(int host, String change, Optional<Long> basedOn) {
        return propose(
                host,
                new ProposedChange(
                        change,
                        "litia",
                        "test",
                        basedOn,
                        List.of(SettingsEdit.set("/limits/moveSpreadMillis", "1234"))));
    }

    CompletableFuture<ProposalResult> propose(int host, ProposedChange change) {
        CompletableFuture<ProposalResult> answer = new CompletableFuture<>();
        host(host).events.add(new ControlEvent.ChangeProposed(change, answer));
        return answer;
    }

    CompletableFuture<ControlStatus> status(int host) {
        CompletableFuture<ControlStatus> answer = new CompletableFuture<>();
        host(host).events.add(new ControlEvent.StatusRequested(answer));
        return answer;
    }

    boolean allHave(long revision) {
        return hosts.values().stream().allMatch(h -> h.snapshot().settingsRevision() == revision);
    }

    boolean allSee(int count) {
        return hosts.values().stream().allMatch(h -> h.snapshot().hosts().size() == count);
    }
}

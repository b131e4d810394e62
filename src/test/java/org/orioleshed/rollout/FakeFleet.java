package org.orioleshed.rollout;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * Several {@link RolloutCore}s connected by links and a store that can fail, driven by a simulated
 * clock.
 */
final class FakeFleet {
    static final VersionId OLD = new VersionId("v1");
    static final VersionId NEW = new VersionId("v2");
    static final Target LETTERS = new Target.Model(new ModelId("letters"));
    static final RolloutId ROLLOUT = new RolloutId("m1");
    static final long START_MILLIS = 1_700_000_000_000L;

    final Map<HostId, Host> hosts = new TreeMap<>();
    final FakeStore store = new FakeStore();
    final RandomGenerator random;
    final FleetSnapshot snapshot;
    final Set<HostId> paused = new HashSet<>();
    double linkLoss;
    long nowNanos;

    private final Deque<Envelope> inFlight = new ArrayDeque<>();
    private final Map<HostId, Integer> partitions = new HashMap<>();

    private record Envelope(HostId from, HostId to, RolloutMessage message) {}

    /** A host with its latest traffic split, its notices and its orders. */
    static final class Host {
        final HostId id;
        final FailureDomain domain;
        final ServerId oldServer;
        final ServerId newServer;
        RolloutCore core;
        RolloutAction.SplitChanged split =
                new RolloutAction.SplitChanged(Map.of(), Map.of(), Set.of());
        final List<RolloutAction.Notice> notices = new ArrayList<>();
        final List<RolloutAction.Order> orders = new ArrayList<>();

        Host(HostId id, FailureDomain domain, RolloutLimits limits) {
            this.id = id;
            this.domain = domain;
            this.oldServer = new ServerId(domain + "-old");
            this.newServer = new ServerId(domain + "-new");
            this.core = new RolloutCore(id, domain, 1, limits);
        }

        double share(RouteId route) {
            VersionSplit traffic = split.splits().get(route);
            return traffic == null ? 0 : traffic.toShare();
        }

        boolean hasNotice(RolloutAction.Notice.Kind kind) {
            return count(kind) > 0;
        }

        long count(RolloutAction.Notice.Kind kind) {
            return notices.stream().filter(notice -> notice.kind() == kind).count();
        }
    }

    FakeFleet(RandomGenerator random, RolloutLimits limits, int domains, int hostsPerDomain) {
        this.random = random;
        Map<HostId, EntryHost> entries = new HashMap<>();
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (int d = 0; d < domains; d++) {
            FailureDomain domain = new FailureDomain("d" + d);
            addServer(servers, domain, "d" + d + "-old", OLD);
            addServer(servers, domain, "d" + d + "-new", NEW);
            for (int h = 0; h < hostsPerDomain; h++) {
                HostId id = new HostId("d" + d + "-h" + h);
                hosts.put(id, new Host(id, domain, limits));
                entries.put(id, entry(id, domain));
            }
        }
        snapshot = new FleetSnapshot(1, entries, servers, Map.of(), Map.of(), Map.of(), Map.of());
        hosts.keySet().forEach(id -> feed(id, new RolloutEvent.FleetChanged(snapshot)));
    }

    private static EntryHost entry(HostId id, FailureDomain domain) {
        InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        return new EntryHost(id, domain, 1, address, EntryHost.State.ALIVE);
    }

    private static void addServer(
            Map<ServerId, BackendServer> servers,
            FailureDomain domain,
            String name,
            VersionId version) {
        ServerId id = new ServerId(name);
        URI address = URI.create("http://127.0.0.1:1");
        servers.put(
                id,
                new BackendServer(
                        id, domain, address, LETTERS, version, "g1", 8, 60_000, true, true, false));
    }

    /**
     * Returns {@code snapshot} in which all backend servers check fencing numbers, or none does.
     */
    static FleetSnapshot withFencing(FleetSnapshot snapshot, boolean checks) {
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (BackendServer s : snapshot.servers().values()) {
            servers.put(
                    s.id(),
                    new BackendServer(
                            s.id(),
                            s.domain(),
                            s.address(),
                            s.target(),
                            s.version(),
                            s.generation(),
                            s.slots(),
                            s.cacheTokens(),
                            s.canResume(),
                            checks,
                            s.leaving()));
        }
        return new FleetSnapshot(
                snapshot.settingsRevision(),
                snapshot.hosts(),
                servers,
                snapshot.routes(),
                snapshot.workspaces(),
                snapshot.splits(),
                snapshot.currentVersions());
    }

    static List<RouteId> routes(int count) {
        List<RouteId> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routes.add(new RouteId("r" + i));
        }
        return routes;
    }

    RolloutRecord plan(RolloutId id, List<RouteId> routes, long durationMillis) {
        RolloutRecord record =
                RolloutRecord.plan(
                        id,
                        LETTERS,
                        OLD,
                        NEW,
                        routes,
                        epochMillis(),
                        epochMillis() + durationMillis,
                        List.of(),
                        "operator",
                        "test");
        store.put(RolloutRecord.key(id), record.toPayload());
        return record;
    }

    long epochMillis() {
        return START_MILLIS + nowNanos / RolloutCore.NANOS_PER_MILLI;
    }

    /** Assigns a host to a network partition; messages between partitions are lost. */
    void partition(HostId host, int partition) {
        partitions.put(host, partition);
    }

    private int partition(HostId host) {
        return partitions.getOrDefault(host, 0);
    }

    /** Advances the clock, ticks every host that is not paused, and delivers messages. */
    void step(long millis) {
        nowNanos += millis * RolloutCore.NANOS_PER_MILLI;
        store.now(nowNanos);
        for (HostId id : hosts.keySet()) {
            if (!paused.contains(id)) {
                feed(id, new RolloutEvent.Tick(epochMillis()));
            }
        }
        deliver();
    }

    /** Steps by {@code millis} until {@code totalMillis} have passed. */
    void run(long totalMillis, long millis) {
        for (long passed = 0; passed < totalMillis; passed += millis) {
            step(millis);
        }
    }

    void observe(Host host, RouteId route, VersionId version, RunResult result) {
        ServerId server = version.equals(NEW) ? host.newServer : host.oldServer;
        feed(host.id, new RolloutEvent.Observed(route, version, server, result));
    }

    /** Sends one request on each of {@code routes} through each host, all with one result. */
    void traffic(List<RouteId> routes, VersionId version, RunResult.Verdict verdict, int times) {
        for (Host host : hosts.values()) {
            for (RouteId route : routes) {
                for (int i = 0; i < times; i++) {
                    observe(host, route, version, result(verdict, 0.2));
                }
            }
        }
        deliver();
    }

    RunResult result(RunResult.Verdict verdict, double load) {
        Fingerprint content = new Fingerprint(random.nextLong(), random.nextLong());
        long millis = random.nextLong(900, 1_100);
        return new RunResult(verdict, millis, 100, 0, 0, load, content);
    }

    void feed(HostId id, RolloutEvent event) {
        Host host = hosts.get(id);
        List<RolloutEvent> answers = new ArrayList<>();
        for (RolloutAction action : host.core.on(nowNanos, event)) {
            perform(host, action).ifPresent(answers::add);
        }
        answers.forEach(answer -> feed(id, answer));
    }

    private Optional<RolloutEvent> perform(Host host, RolloutAction action) {
        return switch (action) {
            case RolloutAction.SendMessage send -> {
                inFlight.add(new Envelope(host.id, send.to(), send.message()));
                yield Optional.empty();
            }
            case RolloutAction.SplitChanged split -> {
                host.split = split;
                yield Optional.empty();
            }
            case RolloutAction.Notice notice -> {
                host.notices.add(notice);
                yield Optional.empty();
            }
            case RolloutAction.Order order -> {
                host.orders.add(order);
                yield Optional.empty();
            }
            case RolloutAction.ReadState read -> Optional.empty();
            case RolloutAction.SwapRecord swap -> Optional.of(store.swap(host.id, swap));
            case RolloutAction.ReadRecord read -> store.read(host.id, read.rollout());
            case RolloutAction.ListRecords list -> store.list(host.id);
            case RolloutAction.GrantLease grant -> Optional.of(store.grant(host.id, grant));
            case RolloutAction.KeepLease keep -> Optional.of(store.keep(host.id, keep));
        };
    }

    private void deliver() {
        while (!inFlight.isEmpty()) {
            Envelope envelope = inFlight.poll();
            boolean separated = partition(envelope.from) != partition(envelope.to);
            if (separated || paused.contains(envelope.to) || random.nextDouble() < linkLoss) {
                continue;
            }
            if (hosts.containsKey(envelope.to)) {
                feed(envelope.to, new RolloutEvent.PeerReceived(envelope.from, envelope.message));
            }
        }
    }
}

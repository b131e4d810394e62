package org.orioleshed.move;

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
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** A few {@link MoveCore}s with links and a store that can fail, all stepped by a test's clock. */
final class FakeFleet {
    static final VersionId OLD = new VersionId("v1");
    static final VersionId NEW = new VersionId("v2");
    static final Target LETTERS = new Target.Model(new ModelId("letters"));
    static final MoveId MOVE = new MoveId("m1");
    static final long START_MILLIS = 1_700_000_000_000L;

    final Map<HostId, Host> hosts = new TreeMap<>();
    final FakeStore store = new FakeStore();
    final RandomGenerator random;
    final World world;
    final Set<HostId> paused = new HashSet<>();
    double linkLoss;
    long nowNanos;

    private final Deque<Letter> letters = new ArrayDeque<>();
    private final Map<HostId, Integer> islands = new HashMap<>();

    private record Letter(HostId from, HostId to, MoveMessage message) {}

    /** One host, what it last said, and what it told the operators. */
    static final class Host {
        final HostId id;
        final FailureDomain domain;
        final ServerId oldServer;
        final ServerId newServer;
        MoveCore core;
        MoveAction.SplitChanged split = new MoveAction.SplitChanged(Map.of(), Map.of(), Set.of());
        final List<MoveAction.Notice> notices = new ArrayList<>();
        final List<MoveAction.Order> orders = new ArrayList<>();

        Host(HostId id, FailureDomain domain, MoveLimits limits) {
            this.id = id;
            this.domain = domain;
            this.oldServer = new ServerId(domain + "-old");
            this.newServer = new ServerId(domain + "-new");
            this.core = new MoveCore(id, domain, 1, limits);
        }

        double share(RouteId route) {
            VersionSplit traffic = split.splits().get(route);
            return traffic == null ? 0 : traffic.toShare();
        }

        boolean wasTold(MoveAction.Notice.Kind kind) {
            return count(kind) > 0;
        }

        long count(MoveAction.Notice.Kind kind) {
            return notices.stream().filter(notice -> notice.kind() == kind).count();
        }
    }

    FakeFleet(RandomGenerator random, MoveLimits limits, int domains, int hostsPerDomain) {
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
        world = new World(1, entries, servers, Map.of(), Map.of(), Map.of(), Map.of());
        hosts.keySet().forEach(id -> feed(id, new MoveEvent.WorldChanged(world)));
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

    /** Returns {@code world} with backend servers that all check fencing numbers, or none does. */
    static World withFencing(World world, boolean checks) {
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (BackendServer s : world.servers().values()) {
            servers.put(
                    s.id(),
                    new BackendServer(
                            s.id(),
                            s.domain(),
                            s.address(),
                            s.target(),
                            s.version(),
                            s.generation(),
                            s.places(),
                            s.cacheTokens(),
                            s.canResume(),
                            checks,
                            s.leaving()));
        }
        return new World(
                world.settingsRevision(),
                world.hosts(),
                servers,
                world.routes(),
                world.workspaces(),
                world.splits(),
                world.currentVersions());
    }

    static List<RouteId> routes(int count) {
        List<RouteId> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routes.add(new RouteId("r" + i));
        }
        return routes;
    }

    MoveRecord plan(MoveId id, List<RouteId> routes, long lengthMillis) {
        MoveRecord record =
                MoveRecord.plan(
                        id,
                        LETTERS,
                        OLD,
                        NEW,
                        routes,
                        epochMillis(),
                        epochMillis() + lengthMillis,
                        List.of(),
                        "operator",
                        "test");
        store.put(MoveRecord.key(id), record.toPayload());
        return record;
    }

    long epochMillis() {
        return START_MILLIS + nowNanos / MoveCore.NANOS_PER_MILLI;
    }

    /** Puts a host on an island; hosts of different islands do not hear each other. */
    void island(HostId host, int island) {
        islands.put(host, island);
    }

    private int island(HostId host) {
        return islands.getOrDefault(host, 0);
    }

    /** Lets time pass and every host that is not paused tick. */
    void step(long millis) {
        nowNanos += millis * MoveCore.NANOS_PER_MILLI;
        store.now(nowNanos);
        for (HostId id : hosts.keySet()) {
            if (!paused.contains(id)) {
                feed(id, new MoveEvent.Tick(epochMillis()));
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
        feed(host.id, new MoveEvent.Observed(route, version, server, result));
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

    void feed(HostId id, MoveEvent event) {
        Host host = hosts.get(id);
        List<MoveEvent> answers = new ArrayList<>();
        for (MoveAction action : host.core.on(nowNanos, event)) {
            perform(host, action).ifPresent(answers::add);
        }
        answers.forEach(answer -> feed(id, answer));
    }

    private Optional<MoveEvent> perform(Host host, MoveAction action) {
        return switch (action) {
            case MoveAction.SendMove send -> {
                letters.add(new Letter(host.id, send.to(), send.message()));
                yield Optional.empty();
            }
            case MoveAction.SplitChanged split -> {
                host.split = split;
                yield Optional.empty();
            }
            case MoveAction.Notice notice -> {
                host.notices.add(notice);
                yield Optional.empty();
            }
            case MoveAction.Order order -> {
                host.orders.add(order);
                yield Optional.empty();
            }
            case MoveAction.ReadState read -> Optional.empty();
            case MoveAction.SwapRecord swap -> Optional.of(store.swap(host.id, swap));
            case MoveAction.ReadRecord read -> store.read(host.id, read.move());
            case MoveAction.ListRecords list -> store.list(host.id);
            case MoveAction.GrantLease grant -> Optional.of(store.grant(host.id, grant));
            case MoveAction.KeepLease keep -> Optional.of(store.keep(host.id, keep));
        };
    }

    private void deliver() {
        while (!letters.isEmpty()) {
            Letter letter = letters.poll();
            boolean cut = island(letter.from) != island(letter.to);
            if (cut || paused.contains(letter.to) || random.nextDouble() < linkLoss) {
                continue;
            }
            if (hosts.containsKey(letter.to)) {
                feed(letter.to, new MoveEvent.PeerReceived(letter.from, letter.message));
            }
        }
    }
}

package org.orioleshed.host;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.host.HostEvent.CallEnd;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.routing.RunEnd;

/**
 * Three entry hosts' cores over fakes, and one list of messages under way. The test decides which
 * of them arrives, and when time passes. {@link Promises} are checked at each action.
 */
final class FakeFleet {
    static final RouteId MODEL_ROUTE = new RouteId("gangway");
    static final RouteId SERVICE_ROUTE = new RouteId("bookings");
    static final WorkspaceId WORKSPACE = new WorkspaceId("stewards");
    static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("b"));

    final List<Node> nodes = new ArrayList<>();
    final List<Delivery> underWay = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<StoreCall> storeCalls = new ArrayList<>();
    final FakeEngines engines = new FakeEngines();
    final FakeStore store = new FakeStore();
    final Trace trace = new Trace();
    final Promises promises = new Promises(engines, trace);
    final Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
    final Map<RouteId, VersionSplit> splits = new HashMap<>();
    final Map<Long, RequestStatus> statuses = new HashMap<>();
    final List<HostAction> drained = new ArrayList<>();
    final HostLimits limits;
    final long seed;
    long nowNanos = TimeUnit.SECONDS.toNanos(1);
    int maxWaiting = 1_000;

    /** One entry host's process. */
    static final class Node {
        final HostId id;
        final FailureDomain domain;
        HostCore core;
        long incarnation = 1;
        long sequence;
        boolean up = true;
        boolean paused;

        Node(HostId id, FailureDomain domain) {
            this.id = id;
            this.domain = domain;
        }
    }

    /** A message under way. */
    record Delivery(Node to, long incarnation, HostEvent event) {}

    /** A call on a plain service that has not ended. */
    record Call(Node from, long incarnation, HostAction.CallService action) {}

    /** A call on the store that has not been answered. */
    record StoreCall(Node from, long incarnation, HostAction action) {}

    FakeFleet(long seed) {
        this(seed, HostLimits.DEFAULTS);
    }

    FakeFleet(long seed, HostLimits limits) {
        this.seed = seed;
        this.limits = limits;
        addServer("m1", DOMAINS.get(0), new Target.Model(new ModelId("letters")), "v1", true);
        addServer("m2", DOMAINS.get(1), new Target.Model(new ModelId("letters")), "v1", true);
        addServer("s1", DOMAINS.get(0), new Target.Service(new ServiceId("bookings")), "v1", true);
        addServer("s2", DOMAINS.get(1), new Target.Service(new ServiceId("bookings")), "v1", true);
        for (int i = 0; i < DOMAINS.size(); i++) {
            Node node = new Node(new HostId("h" + i), DOMAINS.get(i));
            nodes.add(node);
        }
        nodes.forEach(this::boot);
    }

    void addServer(
            String id, FailureDomain domain, Target target, String version, boolean canResume) {
        ServerId server = new ServerId(id);
        servers.put(
                server,
                new BackendServer(
                        server,
                        domain,
                        URI.create("http://127.0.0.1:9"),
                        target,
                        new VersionId(version),
                        "g1",
                        4,
                        10_000,
                        canResume,
                        true,
                        false));
    }

    private void boot(Node node) {
        Random random = new Random(seed * 31 + nodes.indexOf(node) + 7 * node.incarnation);
        node.core = new HostCore(node.id, node.domain, node.incarnation, limits, random);
        feed(node, new HostEvent.FleetChanged(snapshot(Set.of())));
    }

    /** Returns the fleet snapshot with all hosts but {@code missing}. */
    FleetSnapshot snapshot(Set<HostId> missing) {
        Map<HostId, EntryHost> hosts = new LinkedHashMap<>();
        for (Node node : nodes) {
            if (!missing.contains(node.id)) {
                hosts.put(
                        node.id,
                        new EntryHost(
                                node.id,
                                node.domain,
                                node.incarnation,
                                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                                EntryHost.State.ALIVE));
            }
        }
        Workspace workspace =
                new Workspace(
                        WORKSPACE,
                        List.of(),
                        1,
                        Map.of(Tier.URGENT, 10_000L),
                        Tier.URGENT,
                        maxWaiting,
                        1_000,
                        Optional.empty());
        Map<RouteId, Route> routes = new HashMap<>();
        routes.put(
                MODEL_ROUTE,
                new Route(MODEL_ROUTE, new Target.Model(new ModelId("letters")), Map.of()));
        routes.put(
                SERVICE_ROUTE,
                new Route(
                        SERVICE_ROUTE,
                        new Target.Service(new ServiceId("bookings")),
                        Map.of("hold", false, "lookup", true)));
        return new FleetSnapshot(
                1, hosts, servers, routes, Map.of(WORKSPACE, workspace), splits, Map.of());
    }

    Request generate(Node node, String key, String content, Tier tier, long deadlineMillis) {
        return request(
                node,
                key,
                content,
                tier,
                deadlineMillis,
                new Work.Generate(10, 100, List.of()),
                MODEL_ROUTE);
    }

    Request call(Node node, String key, boolean repeatable, long deadlineMillis) {
        String call = repeatable ? "lookup" : "hold";
        return request(
                node,
                key,
                key,
                Tier.URGENT,
                deadlineMillis,
                new Work.Call(call, repeatable),
                SERVICE_ROUTE);
    }

    private Request request(
            Node node,
            String key,
            String content,
            Tier tier,
            long deadlineMillis,
            Work work,
            RouteId route) {
        return new Request(
                new RequestId(node.id, node.incarnation, ++node.sequence),
                new RequestKey(WORKSPACE, key),
                route,
                tier,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
                nowNanos,
                new Fingerprint(1, content.hashCode()),
                work,
                Payload.of(content));
    }

    RequestId send(Node node, Request request) {
        promises.arrived(node, request);
        feed(node, new HostEvent.RequestArrived(request));
        return request.id();
    }

    /** Hands an event to a host at once, and does what it decides. */
    void feed(Node node, HostEvent event) {
        if (!node.up || node.paused) {
            return;
        }
        trace.add(nowNanos, node.id, event);
        act(node, node.core.on(nowNanos, event));
    }

    void act(Node node, List<HostAction> actions) {
        for (HostAction action : actions) {
            trace.add(nowNanos, node.id, action);
            promises.acted(node, action);
            switch (action) {
                case HostAction.SendRouting send ->
                        post(send.to(), new HostEvent.RoutingReceived(node.id, send.message()));
                case HostAction.SendRequest send ->
                        post(send.to(), new HostEvent.RequestReceived(node.id, send.message()));
                case HostAction.StartRun start ->
                        engines.start(start, node.id, node.incarnation)
                                .forEach(event -> reply(node, event));
                case HostAction.CancelRun cancel ->
                        reply(node, engines.cancel(cancel.run(), cancel.server()));
                case HostAction.PauseRun pause -> {
                    FakeEngines.Run run = engines.live.get(pause.run());
                    if (run != null) {
                        run.paused = pause.paused();
                    }
                }
                case HostAction.CallService call ->
                        calls.add(new Call(node, node.incarnation, call));
                case HostAction.ReadStore read ->
                        storeCalls.add(new StoreCall(node, node.incarnation, read));
                case HostAction.CompareAndSwap swap ->
                        storeCalls.add(new StoreCall(node, node.incarnation, swap));
                case HostAction.WriteTokens write ->
                        reply(node, new HostEvent.CallerConsumed(write.request(), write.count()));
                case HostAction.ReplyStatus tell -> statuses.put(tell.ticket(), tell.status());
                case HostAction.Answer answer -> {}
                case HostAction.Log log -> {}
                case HostAction.RecordResult observe -> {}
                case HostAction.Drained done -> drained.add(done);
            }
        }
        promises.check();
    }

    private void post(HostId to, HostEvent event) {
        Node node = nodes.stream().filter(n -> n.id.equals(to)).findFirst().orElseThrow();
        underWay.add(new Delivery(node, node.incarnation, event));
    }

    private void reply(Node node, HostEvent event) {
        underWay.add(new Delivery(node, node.incarnation, event));
    }

    void deliver(int index) {
        deliver(underWay.remove(index));
    }

    void deliver(Delivery delivery) {
        if (delivery.to.incarnation == delivery.incarnation) {
            feed(delivery.to, delivery.event);
        }
    }

    /** Answers the oldest calls on the store, and delivers messages, until nothing is left. */
    void settle() {
        for (int i = 0; i < 10_000; i++) {
            int paused = (int) underWay.stream().filter(d -> d.to.paused).count();
            if (underWay.size() > paused) {
                int next = 0;
                while (underWay.get(next).to.paused) {
                    next++;
                }
                deliver(next);
            } else if (!storeCalls.isEmpty()) {
                answerStore(0, 0);
            } else {
                return;
            }
        }
        throw new AssertionError("the fleet does not come to rest");
    }

    /** Answers a call on the store: 0 truly, 1 with a lost answer, 2 refused. */
    void answerStore(int index, int fault) {
        StoreCall call = storeCalls.remove(index);
        StoreAnswer answer =
                switch (fault) {
                    case 0 -> store.apply(call.action);
                    case 1 -> {
                        store.apply(call.action);
                        yield new StoreAnswer.Unknown("lost");
                    }
                    default -> new StoreAnswer.Unavailable("away");
                };
        long ticket =
                switch (call.action) {
                    case HostAction.ReadStore read -> read.ticket();
                    case HostAction.CompareAndSwap swap -> swap.ticket();
                    default -> throw new IllegalStateException();
                };
        underWay.add(
                new Delivery(
                        call.from, call.incarnation, new HostEvent.StoreAnswered(ticket, answer)));
    }

    /** Ends a call on a service: 0 answered, 1 never sent, 2 ran and broke, 3 broke unrun. */
    void endCall(int index, int how) {
        Call call = calls.remove(index);
        HostAction.CallService action = call.action;
        if (how == 0 || how == 2) {
            promises.ran(action);
        }
        CallEnd end =
                switch (how) {
                    case 0 -> new CallEnd.Answered(200, action.body());
                    case 1 -> new CallEnd.NeverSent("refused");
                    default -> new CallEnd.Broken("silent");
                };
        underWay.add(
                new Delivery(
                        call.from,
                        call.incarnation,
                        new HostEvent.CallEnded(action.run(), action.server(), end)));
    }

    /** Lets a run make its next token; a run whose reader is gone ends at its next write. */
    void stepEngine(int index) {
        RunId run = List.copyOf(engines.live.keySet()).get(index);
        FakeEngines.Run at = engines.live.get(run);
        Node reader = nodes.stream().filter(n -> n.id.equals(at.reader)).findFirst().orElseThrow();
        if (!reader.up || reader.incarnation != at.incarnation) {
            engines.live.remove(run);
            return;
        }
        engines.step(run).forEach(event -> reply(reader, event));
    }

    /** Breaks a run off; with {@code ends} the engine is known to be done with it. */
    void breakRun(RunId run, boolean crashed, boolean ends) {
        FakeEngines.Run at = engines.live.get(run);
        Node reader = nodes.stream().filter(n -> n.id.equals(at.reader)).findFirst().orElseThrow();
        if (ends) {
            engines.live.remove(run);
        }
        RunEnd end = new RunEnd.Broken(crashed, ends);
        deliver(new Delivery(reader, at.incarnation, new HostEvent.RunEnded(run, at.server, end)));
    }

    void crash(Node node) {
        node.up = false;
        promises.crashed(node);
        underWay.removeIf(delivery -> delivery.to == node);
    }

    void restart(Node node) {
        node.up = true;
        node.paused = false;
        node.incarnation++;
        node.sequence = 0;
        boot(node);
    }

    static boolean isLink(HostEvent event) {
        return event instanceof HostEvent.RoutingReceived
                || event instanceof HostEvent.RequestReceived;
    }

    void tick(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        nodes.forEach(node -> feed(node, new HostEvent.Tick()));
    }

    /** Tells all hosts the same fleet snapshot. */
    void publishFleet(Set<HostId> missing) {
        nodes.forEach(node -> feed(node, new HostEvent.FleetChanged(snapshot(missing))));
    }

    /** Lets everything run well until nothing is under way. */
    void finish() {
        int idle = 0;
        for (int i = 0; i < 2_000 && idle < 3; i++) {
            settle();
            while (!calls.isEmpty()) {
                endCall(0, 0);
            }
            for (int run = engines.live.size() - 1; run >= 0; run--) {
                if (run < engines.live.size()) {
                    stepEngine(run);
                }
            }
            settle();
            tick(50);
            boolean done =
                    underWay.isEmpty()
                            && engines.live.isEmpty()
                            && nodes.stream().allMatch(node -> node.core.requests() == 0);
            idle = done ? idle + 1 : 0;
        }
    }

    Outcome outcome(RequestId request) {
        return promises.outcome(request);
    }
}

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
 * The cores of three entry hosts, with fakes around them and one list of messages in flight. The
 * test chooses which message is delivered next, and advances the clock. {@link Invariants} are
 * checked after each action.
 */
final class FakeFleet {
    static final RouteId MODEL_ROUTE = new RouteId("gangway");
    static final RouteId SERVICE_ROUTE = new RouteId("bookings");
    static final WorkspaceId WORKSPACE = new WorkspaceId("stewards");
    static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("b"));

    final List<Node> nodes = new ArrayList<>();
    final List<Delivery> inFlight = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<StoreCall> storeCalls = new ArrayList<>();
    final FakeEngines engines = new FakeEngines();
    final FakeStore store = new FakeStore();
    final Trace trace = new Trace();
    final Invariants invariants = new Invariants(engines, trace);
    final Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
    final Map<RouteId, VersionSplit> splits = new HashMap<>();
    final Map<Long, RequestStatus> statuses = new HashMap<>();
    final List<HostAction> drained = new ArrayList<>();
    final HostLimits limits;
    final long seed;
    long nowNanos = TimeUnit.SECONDS.toNanos(1);
    int maxWaiting = 1_000;

    /** The process of an entry host. */
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

    /** A message in flight. */
    record Delivery(Node to, long incarnation, HostEvent event) {}

    /** A call to a plain service that has not ended. */
    record Call(Node from, long incarnation, HostAction.CallService action) {}

    /** A call to the store that has not been answered. */
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
        nodes.forEach(this::startCore);
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

    private void startCore(Node node) {
        Random random = new Random(seed * 31 + nodes.indexOf(node) + 7 * node.incarnation);
        node.core = new HostCore(node.id, node.domain, node.incarnation, limits, random);
        feed(node, new HostEvent.FleetChanged(snapshot(Set.of())));
    }

    /** Returns the fleet snapshot with all hosts except {@code missing}. */
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
        invariants.requestArrived(node, request);
        feed(node, new HostEvent.RequestArrived(request));
        return request.id();
    }

    /** Delivers an event to a host immediately, and executes the resulting actions. */
    void feed(Node node, HostEvent event) {
        if (!node.up || node.paused) {
            return;
        }
        trace.add(nowNanos, node.id, event);
        execute(node, node.core.on(nowNanos, event));
    }

    void execute(Node node, List<HostAction> actions) {
        for (HostAction action : actions) {
            trace.add(nowNanos, node.id, action);
            invariants.onAction(node, action);
            switch (action) {
                case HostAction.SendRouting send ->
                        sendTo(send.to(), new HostEvent.RoutingReceived(node.id, send.message()));
                case HostAction.SendRequest send ->
                        sendTo(send.to(), new HostEvent.RequestReceived(node.id, send.message()));
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
                case HostAction.ReplyStatus reply -> statuses.put(reply.ticket(), reply.status());
                case HostAction.Answer answer -> {}
                case HostAction.Log log -> {}
                case HostAction.RecordResult observe -> {}
                case HostAction.Drained done -> drained.add(done);
            }
        }
        invariants.check();
    }

    private void sendTo(HostId to, HostEvent event) {
        Node node = nodes.stream().filter(n -> n.id.equals(to)).findFirst().orElseThrow();
        inFlight.add(new Delivery(node, node.incarnation, event));
    }

    private void reply(Node node, HostEvent event) {
        inFlight.add(new Delivery(node, node.incarnation, event));
    }

    void deliver(int index) {
        deliver(inFlight.remove(index));
    }

    void deliver(Delivery delivery) {
        if (delivery.to.incarnation == delivery.incarnation) {
            feed(delivery.to, delivery.event);
        }
    }

    /** Delivers messages and answers store calls, oldest first, until none is left. */
    void settle() {
        for (int i = 0; i < 10_000; i++) {
            int paused = (int) inFlight.stream().filter(d -> d.to.paused).count();
            if (inFlight.size() > paused) {
                int next = 0;
                while (inFlight.get(next).to.paused) {
                    next++;
                }
                deliver(next);
            } else if (!storeCalls.isEmpty()) {
                answerStore(0, 0);
            } else {
                return;
            }
        }
        throw new AssertionError("messages and store calls still pending after 10000 steps");
    }

    /** Answers a store call: fault 0 applied, 1 applied with its answer lost, 2 refused. */
    void answerStore(int index, int fault) {
        StoreCall call = storeCalls.remove(index);
        StoreAnswer answer =
                switch (fault) {
                    case 0 -> store.apply(call.action);
                    case 1 -> {
                        store.apply(call.action);
                        yield new StoreAnswer.Unknown("lost");
                    }
                    default -> new StoreAnswer.Unavailable("unavailable");
                };
        long ticket =
                switch (call.action) {
                    case HostAction.ReadStore read -> read.ticket();
                    case HostAction.CompareAndSwap swap -> swap.ticket();
                    default -> throw new IllegalStateException();
                };
        inFlight.add(
                new Delivery(
                        call.from, call.incarnation, new HostEvent.StoreAnswered(ticket, answer)));
    }

    /** Ends a service call: 0 answered, 1 never sent, 2 ran but broke, 3 broke without running. */
    void endCall(int index, int ending) {
        Call call = calls.remove(index);
        HostAction.CallService action = call.action;
        if (ending == 0 || ending == 2) {
            invariants.serviceRan(action);
        }
        CallEnd end =
                switch (ending) {
                    case 0 -> new CallEnd.Answered(200, action.body());
                    case 1 -> new CallEnd.NeverSent("refused");
                    default -> new CallEnd.Broken("silent");
                };
        inFlight.add(
                new Delivery(
                        call.from,
                        call.incarnation,
                        new HostEvent.CallEnded(action.run(), action.server(), end)));
    }

    /** Produces the next token of a run; a run whose reader is gone ends instead. */
    void stepEngine(int index) {
        RunId run = List.copyOf(engines.live.keySet()).get(index);
        FakeEngines.Run state = engines.live.get(run);
        Node reader =
                nodes.stream().filter(n -> n.id.equals(state.reader)).findFirst().orElseThrow();
        if (!reader.up || reader.incarnation != state.incarnation) {
            engines.live.remove(run);
            return;
        }
        engines.step(run).forEach(event -> reply(reader, event));
    }

    /** Breaks the connection of a run; {@code ends} states that the run has ended on the engine. */
    void breakRun(RunId run, boolean crashed, boolean ends) {
        FakeEngines.Run state = engines.live.get(run);
        Node reader =
                nodes.stream().filter(n -> n.id.equals(state.reader)).findFirst().orElseThrow();
        if (ends) {
            engines.live.remove(run);
        }
        RunEnd end = new RunEnd.Broken(crashed, ends);
        deliver(
                new Delivery(
                        reader, state.incarnation, new HostEvent.RunEnded(run, state.server, end)));
    }

    void crash(Node node) {
        node.up = false;
        invariants.hostCrashed(node);
        inFlight.removeIf(delivery -> delivery.to == node);
    }

    void restart(Node node) {
        node.up = true;
        node.paused = false;
        node.incarnation++;
        node.sequence = 0;
        startCore(node);
    }

    static boolean isLink(HostEvent event) {
        return event instanceof HostEvent.RoutingReceived
                || event instanceof HostEvent.RequestReceived;
    }

    void tick(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        nodes.forEach(node -> feed(node, new HostEvent.Tick()));
    }

    /** Sends all hosts the same fleet snapshot. */
    void publishFleet(Set<HostId> missing) {
        nodes.forEach(node -> feed(node, new HostEvent.FleetChanged(snapshot(missing))));
    }

    /** Runs without further faults until nothing is in progress. */
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
                    inFlight.isEmpty()
                            && engines.live.isEmpty()
                            && nodes.stream().allMatch(node -> node.core.requests() == 0);
            idle = done ? idle + 1 : 0;
        }
    }

    Outcome outcome(RequestId request) {
        return invariants.outcome(request);
    }
}

package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.CatalogState;
import org.orioleshed.catalog.PlainDecoder;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/** One host of {@link SteppedHosts}: its decision logic, and the outcomes of its requests. */
final class SteppedHost implements PeerPort, FleetView.Listener, Dispatcher.PlacementListener {
    /**
     * A part of what operators tolerate, as in the platform's settings; the rest covers use that
     * hosts cannot observe.
     */
    private static final Quotas.Slack SLACK = new Quotas.Slack(0.04, 400);

    /** A host must comply with a server's limit from this long after it first saw the limit. */
    private static final long LIMIT_PROPAGATION_NANOS = 500_000_000;

    private static final long DEADLINE_MILLIS = 10_000;

    private static final RunReport DONE = new RunReport(RunReport.Outcome.ANSWERED, 5, 50, 200);

    final HostId id;
    final InetSocketAddress address;
    final FailureDomain domain;
    final FleetView fleet;
    final Dispatcher dispatcher;
    final CatalogState catalog;
    final CatalogPropagation propagation;
    final List<String> outcomes = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final Set<Long> open = new HashSet<>();
    boolean dead;
    boolean paused;
    boolean leaving;
    boolean storeUnavailable;
    private final SteppedHosts all;
    private final Map<RunKey, Long> endNanos = new HashMap<>();
    private final Map<RunKey, Long> units = new HashMap<>();
    private final Set<RunKey> deadly = new HashSet<>();
    private final Map<ServerId, Long> limitsSeenNanos = new HashMap<>();
    private CatalogSnapshot snapshot = CatalogSnapshot.EMPTY;
    private boolean wasUnavailable;
    private boolean listed;
    private StoreRevision watched = StoreRevision.NONE;
    private long runMillis;
    private long confirmedNanos;

    /** A request that was sent to a server. */
    record Sent(
            RunKey run, ServerId server, String by, long units, long atNanos, boolean limitSeen) {}

    SteppedHost(
            SteppedHosts all,
            InetSocketAddress address,
            FailureDomain domain,
            long incarnation,
            int cpuMillicores,
            SplittableRandom random) {
        this.all = all;
        this.address = address;
        this.domain = domain;
        id = FleetView.hostId(address);
        Member member =
                new Member(
                        id,
                        domain,
                        address,
                        incarnation,
                        0,
                        false,
                        Member.Health.ALIVE,
                        cpuMillicores);
        fleet =
                new FleetView(
                        member, this, random.split(), all::nowNanos, WatchTiming.DEFAULT, this);
        catalog = new CatalogState(all.decoder(), line -> {});
        dispatcher =
                new Dispatcher(
                        id,
                        this,
                        fleet,
                        SLACK,
                        RolloutPolicy.DEFAULT,
                        PacingPolicy.OFF,
                        ColdBound.DEFAULT,
                        all::nowNanos,
                        () -> 0,
                        line -> {});
        propagation =
                new CatalogPropagation(
                        member,
                        this,
                        fleet,
                        content -> adopt(content),
                        WatchTiming.DEFAULT,
                        () -> confirmedNanos,
                        all::nowNanos,
                        random,
                        line -> {});
    }

    /** Joins the fleet and begins to serve. */
    void begin() {
        fleet.registered(all.hosts.size());
        fleet.seed(all.addresses());
        fleetChanged();
    }

    /** Announces to the other hosts that this one is leaving. */
    void leave() {
        leaving = true;
        fleet.leave();
    }

    /** Sets the run time of each later request; with 0, the test ends each run itself. */
    void runFor(long millis) {
        runMillis = millis;
    }

    void step(boolean tickFleet) {
        readStore();
        dispatcher.tick();
        propagation.tick();
        if (tickFleet) {
            fleet.tick();
        }
        List<RunKey> finished =
                endNanos.entrySet().stream()
                        .filter(entry -> entry.getValue() <= all.nowNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        finished.forEach(run -> end(run, DONE));
    }

    private void end(RunKey run, RunReport end) {
        endNanos.remove(run);
        dispatcher.ended(run, end);
    }

    private void readStore() {
        boolean changed = catalog.expire(all.nowNanos());
        if (storeUnavailable) {
            wasUnavailable = true;
        } else if (!listed || wasUnavailable) {
            boolean settled = !wasUnavailable;
            listed = true;
            wasUnavailable = false;
            watched = all.storeRevision();
            changed = true;
            list(settled);
        } else if (fleet.watchesStore()) {
            for (SteppedHosts.Event event : all.changedAfter(watched)) {
                watched = event.revision();
                changed = true;
                applyEvent(event);
            }
        }
        if (!storeUnavailable) {
            confirmedNanos = all.nowNanos();
        }
        if (changed) {
            publish();
        }
    }

    private void list(boolean settled) {
        List<Store.Entry> servers = new ArrayList<>();
        List<Store.Entry> operators = new ArrayList<>();
        for (Store.Entry entry : all.entries()) {
            (entry.key().startsWith("op/") ? operators : servers).add(entry);
        }
        var unused = catalog.listOperators(operators, all.storeRevision(), all.nowNanos());
        catalog.list(servers, all.storeRevision(), settled, all.nowNanos(), "store");
    }

    private void applyEvent(SteppedHosts.Event event) {
        boolean operator = event.key().startsWith("op/");
        if (event.value().isEmpty() && operator) {
            var unused = catalog.removeOperator(event.key(), event.revision(), all.nowNanos());
            return;
        }
        if (event.value().isEmpty()) {
            catalog.remove(event.key(), event.revision(), true, all.nowNanos(), "store");
            return;
        }
        Store.Entry entry = new Store.Entry(event.key(), event.value().get(), event.revision());
        if (operator) {
            var unused = catalog.operatorWatched(entry, all.nowNanos());
        } else {
            catalog.put(entry, "store");
        }
    }

    private void adopt(CatalogUpdate.Content content) {
        if (catalog.adopt(content.operators(), content.servers(), all.nowNanos())) {
            publish();
        }
    }

    private void publish() {
        CatalogSnapshot newer = catalog.snapshot(true);
        if (snapshot.configRevision().isAfter(newer.configRevision())
                || snapshot.entries().revision().isAfter(newer.entries().revision())) {
            throw new AssertionError("revisions must not decrease: " + snapshot + " " + newer);
        }
        snapshot = newer;
        dispatcher.catalogChanged(newer);
        propagation.catalogChanged(newer);
    }

    CatalogSnapshot snapshot() {
        return snapshot;
    }

    void received(HostId from, MessageKind kind, byte[] body) throws BadMessageException {
        switch (kind) {
            case MEMBERSHIP -> fleet.received(from, body);
            case DISPATCH -> dispatcher.received(from, body);
            case CATALOG -> propagation.received(from, body);
            case ROUTING, REQUEST, SETTINGS, MOVE ->
                    throw new BadMessageException("unexpected message kind");
        }
    }

    @Override
    public void setAddress(HostId host, InetSocketAddress where) {}

    @Override
    public boolean send(HostId to, MessageKind kind, byte[] body) {
        all.post(id, to, kind, body);
        return true;
    }

    @Override
    public void fleetChanged() {
        dispatcher.fleetChanged();
    }

    @Override
    public void hostDied(HostId host) {
        dispatcher.hostDied(host);
    }

    @Override
    public void granted(RunKey run, ServerId server, String why) {
        String by = why.split(" ", 2)[0];
        outcomes.add(run.number() + " " + server.value().replace("servers/", "") + " " + by);
        if (!open.remove(run.number())) {
            throw new AssertionError("granted twice: " + run);
        }
        Optional<PoolServer> found = dispatcher.server(server);
        boolean usable = found.isPresent() && !found.get().draining();
        if (!usable) {
            if (!by.equals("by=home")) {
                throw new AssertionError("this host chose a draining server: " + server);
            }
            dispatcher.ended(run, new RunReport(RunReport.Outcome.MISDIRECTED, 0, 0, 0));
            return;
        }
        if (dispatcher.isEvacuated(found.get())) {
            if (!by.equals("by=home")) {
                throw new AssertionError("this host chose an evacuated server: " + server);
            }
            dispatcher.ended(run, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
            return;
        }
        sent.add(new Sent(run, server, by, units.get(run), all.nowNanos(), hasSeenLimit(server)));
        if (deadly.contains(run)) {
            return;
        }
        respond(run, found.get());
        if (runMillis > 0) {
            endNanos.put(run, all.nowNanos() + runMillis * 1_000_000);
        }
    }

    private boolean hasSeenLimit(ServerId server) {
        Long since = limitsSeenNanos.get(server);
        return since != null && all.nowNanos() - since >= LIMIT_PROPAGATION_NANOS;
    }

    private void respond(RunKey run, PoolServer server) {
        StatedLimit limit = all.limitOf(server.id());
        if (limit instanceof StatedLimit.Rate) {
            limitsSeenNanos.putIfAbsent(server.id(), all.nowNanos());
        }
        ResponseHeaders responseHeaders = new ResponseHeaders("", true, false, -1, false, 0, limit);
        dispatcher.noticed(server, responseHeaders);
        dispatcher.firstEvent(run, 20, limit, StatedLimit.NONE);
    }

    @Override
    public void refused(RunKey run, DispatchAction.Reason reason, long retryAfterMillis) {
        outcomes.add(run.number() + " " + reason);
        if (!open.remove(run.number())) {
            throw new AssertionError("granted or refused twice: " + run);
        }
    }

    void request(long number) {
        request(number, Optional.empty(), 0);
    }

    /** Requests a slot for a request whose server is to crash before it answers. */
    void requestDeadly(long number, RequestContent content) {
        deadly.add(key(number));
        request(number, Optional.empty(), 0, content, DEADLINE_MILLIS);
    }

    /** Returns whether a request was sent to a server. */
    boolean isPlaced(long number) {
        return sent.stream().anyMatch(request -> request.run().equals(key(number)));
    }

    /** Breaks the run of a request without an event; returns its server. */
    ServerId breakRun(long number) {
        dispatcher.ended(key(number), new RunReport(RunReport.Outcome.BROKEN, 0, 0, 80));
        return sent.stream()
                .filter(request -> request.run().equals(key(number)))
                .findFirst()
                .orElseThrow()
                .server();
    }

    /** Requests a slot for a request that uses a workspace's quota. */
    void request(long number, Optional<WorkspaceId> workspace, long quotaUnits) {
        request(number, workspace, quotaUnits, DEADLINE_MILLIS);
    }

    /** Requests a slot for a request whose caller waits only for a given time. */
    void request(
            long number, Optional<WorkspaceId> workspace, long quotaUnits, long deadlineMillis) {
        request(number, workspace, quotaUnits, RequestContent.whole(number), deadlineMillis);
    }

    private void request(
            long number,
            Optional<WorkspaceId> workspace,
            long quotaUnits,
            RequestContent content,
            long deadlineMillis) {
        PlacementRequest request =
                new PlacementRequest(
                        PlainDecoder.SERVICE,
                        new RouteId("r"),
                        workspace,
                        domain,
                        0,
                        600,
                        deadlineMillis,
                        100,
                        100,
                        quotaUnits,
                        content,
                        dispatcher.avoided(PlainDecoder.SERVICE));
        open.add(number);
        units.put(key(number), quotaUnits);
        dispatcher.place(key(number), request, this);
    }

    void withdraw(long number) {
        open.remove(number);
        dispatcher.withdraw(key(number));
    }

    RunKey key(long number) {
        return new RunKey(id, number);
    }
}

package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.routing.RoutingMessage.DomainLoads;
import org.orioleshed.routing.RoutingMessage.ModelLoad;
import org.orioleshed.routing.RoutingMessage.RefusalReason;
import org.orioleshed.routing.RoutingMessage.ServerLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoads;

/**
 * The owner's side of routing on one entry host: the queue, the slots and the estimates of each
 * backend server that this host owns. Not thread-safe.
 *
 * <p>Unrelated events are ignored, so a host may pass all its events. Messages may be lost,
 * repeated or reordered. Messages to its own host are sent in the same way as to others. After
 * {@link HostEvent.DrainRequested} it emits {@link HostAction.Drained} once, when no accepting host
 * waits for a response any more.
 */
public final class OwnerCore implements StateMachine<HostEvent, HostAction> {
    /** The end reported for a run that may still be on an engine. */
    private static final RunEnd UNKNOWN_END = new RunEnd.Broken(false, false);

    private final HostId self;
    private final RoutingLimits limits;
    private final Outbox outbox = new Outbox();
    private final SpeedHistory speedHistory = new SpeedHistory();
    private final LoadExchange loadExchange;
    private final Map<ServerId, OwnedServer> servers = new TreeMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private ServerOwners owners = ServerOwners.NONE;
    private boolean draining;
    private boolean drained;
    private boolean wallClockSet;
    private long wallClockMillis;
    private long wallClockSetNanos;

    /**
     * Creates a core that owns no server until it receives a fleet snapshot.
     *
     * @param self the host that this core runs on
     * @param limits the policy and its bounds
     */
    public OwnerCore(HostId self, RoutingLimits limits) {
        if (self == null || limits == null) {
            throw new IllegalArgumentException("self and limits must not be null");
        }
        this.self = self;
        this.limits = limits;
        loadExchange = new LoadExchange(self);
    }

    @Override
    public List<HostAction> on(long nowNanos, HostEvent event) {
        DecisionContext context = context(nowNanos);
        switch (event) {
            case HostEvent.RoutingReceived e -> received(context, e.from(), e.message());
            case HostEvent.RunAccepted e -> at(e.server()).ifPresent(s -> s.accepted(e.run()));
            case HostEvent.RunTokens e -> at(e.server()).ifPresent(s -> s.tokens(context, e));
            case HostEvent.RunEnded e ->
                    at(e.server()).ifPresent(s -> s.ended(context, e.run(), e.end()));
            case HostEvent.LoadReported e -> at(e.server()).ifPresent(s -> s.loadReported(e));
            case HostEvent.CacheReported e -> at(e.server()).ifPresent(s -> s.cacheReported(e));
            case HostEvent.FleetChanged e -> fleetChanged(nowNanos, e.fleet());
            case HostEvent.WallClock e -> wallClock(nowNanos, e.epochMillis());
            case HostEvent.DrainRequested e -> drain(context);
            case HostEvent.DrainTimedOut e -> {}
            case HostEvent.Tick e -> tick(context);
            case HostEvent.RequestArrived e -> {}
            case HostEvent.CallerGone e -> {}
            case HostEvent.CallerConsumed e -> {}
            case HostEvent.StatusRequested e -> {}
            case HostEvent.RequestReceived e -> {}
            case HostEvent.CallEnded e -> {}
            case HostEvent.StoreAnswered e -> {}
        }
        if (draining && !drained && isIdle()) {
            drained = true;
            outbox.add(new HostAction.Drained());
        }
        return outbox.drain();
    }

    /** Returns whether no accepting host waits for a response from this owner. */
    public boolean isIdle() {
        return servers.values().stream().allMatch(OwnedServer::isIdle);
    }

    /**
     * Returns the loads of the servers that this host owns and that take offers.
     *
     * @param nowNanos the time on the host's monotonic clock
     */
    public ServerLoads serverLoads(long nowNanos) {
        DecisionContext context = context(nowNanos);
        List<ServerLoad> loads = openServers().stream().map(s -> s.load(context)).toList();
        return new ServerLoads(loads);
    }

    /**
     * Returns the load of each model in this host's failure domain, from the latest reports of its
     * owners; empty while the fleet snapshot lacks this host.
     *
     * @param nowNanos the time on the host's monotonic clock
     */
    public List<ModelLoad> modelLoads(long nowNanos) {
        EntryHost own = fleet.hosts().get(self);
        return own == null ? List.of() : loadExchange.totals(context(nowNanos), own.domain());
    }

    private DecisionContext context(long nowNanos) {
        OptionalLong wall = OptionalLong.empty();
        if (wallClockSet) {
            long sinceMillis = (nowNanos - wallClockSetNanos) / DecisionContext.NANOS_PER_MILLI;
            wall = OptionalLong.of(wallClockMillis + sinceMillis);
        }
        return new DecisionContext(nowNanos, wall, fleet);
    }

    private Optional<OwnedServer> at(ServerId server) {
        return Optional.ofNullable(servers.get(server));
    }

    private void received(DecisionContext context, HostId from, RoutingMessage message) {
        switch (message) {
            case RoutingMessage.Offered m -> offered(context, from, m);
            case RoutingMessage.Withdrawn m ->
                    at(m.server()).ifPresent(s -> s.withdrawn(context, m.run()));
            case RoutingMessage.Placed m -> placed(context, from, m);
            case RoutingMessage.Credit m -> credit(context, m);
            case RoutingMessage.Cancelled m -> cancelled(context, from, m.run());
            case ServerLoads m -> loadExchange.observe(context, m);
            case DomainLoads m -> loadExchange.forward(context, from, m, outbox);
            case RoutingMessage.Granted m -> {}
            case RoutingMessage.Refused m -> {}
            case RoutingMessage.Tokens m -> {}
            case RoutingMessage.Ended m -> {}
        }
    }

    private void offered(DecisionContext context, HostId from, RoutingMessage.Offered message) {
        RunId run = message.run();
        if (outbox.endOf(run).isPresent()) {
            outbox.sendEnded(from, run, outbox.endOf(run).get());
            return;
        }
        OwnedServer server = servers.get(message.server());
        if (server != null) {
            server.offered(context, from, run, message.offer());
            return;
        }
        RefusalReason reason =
                fleet.servers().containsKey(message.server())
                        ? RefusalReason.NOT_HOME
                        : RefusalReason.NO_SERVER;
        outbox.sendRefused(
                from,
                run,
                message.offer().tier(),
                message.server(),
                draining ? RefusalReason.DRAINING : reason,
                false,
                0);
    }

    private void placed(DecisionContext context, HostId from, RoutingMessage.Placed message) {
        Optional<RunEnd> end = outbox.endOf(message.run());
        if (end.isPresent()) {
            outbox.sendEnded(from, message.run(), end.get());
            return;
        }
        if (!outbox.wasGranted(message.run())) {
            // Granted by an earlier incarnation, which may have started the run.
            outbox.sendEnded(from, message.run(), UNKNOWN_END);
            return;
        }
        OwnedServer server = servers.get(message.server());
        if (server == null) {
            outbox.sendEnded(from, message.run(), new RunEnd.NeverStarted());
            return;
        }
        server.placed(context, from, message);
    }

    private void credit(DecisionContext context, RoutingMessage.Credit message) {
        for (OwnedServer server : servers.values()) {
            if (server.credit(context, message.run(), message.tokens())) {
                return;
            }
        }
    }

    private void cancelled(DecisionContext context, HostId from, RunId run) {
        boolean found = false;
        for (OwnedServer server : servers.values()) {
            found |= server.cancelled(context, run);
        }
        if (found) {
            return;
        }
        // A run unknown to this incarnation may have been started by an earlier one and still be on
        // an engine.
        RunEnd end = outbox.endOf(run).orElse(UNKNOWN_END);
        outbox.sendEnded(from, run, end);
    }

    private void fleetChanged(long nowNanos, FleetSnapshot newFleet) {
        fleet = newFleet;
        owners = owners.withFleet(newFleet);
        DecisionContext context = context(nowNanos);
        for (OwnedServer server : List.copyOf(servers.values())) {
            updateServer(context, server);
        }
        for (BackendServer server : newFleet.servers().values()) {
            if (isOwner(server.id()) && !server.leaving() && !servers.containsKey(server.id())) {
                OwnedServer owned = new OwnedServer(limits, speedHistory, outbox, server);
                servers.put(server.id(), owned);
                updateServer(context, owned);
            }
        }
        servers.values()
                .forEach(s -> s.hostsGone(context, run -> isGone(run.request().host(), run)));
        servers.values().removeIf(s -> !s.isOpen() && s.isEmpty());
    }

    /** Updates a server from the fleet snapshot, and opens or closes it. */
    private void updateServer(DecisionContext context, OwnedServer owned) {
        BackendServer server = fleet.servers().get(owned.id());
        if (server != null) {
            owned.update(server);
        }
        if (server == null || server.leaving()) {
            owned.close(context, RefusalReason.NO_SERVER);
        } else if (!isOwner(owned.id())) {
            owned.close(context, RefusalReason.NOT_HOME);
        } else if (draining) {
            owned.close(context, RefusalReason.DRAINING);
        } else {
            owned.open();
        }
    }

    private boolean isOwner(ServerId server) {
        return owners.owner(server).filter(self::equals).isPresent();
    }

    private boolean isGone(HostId host, RunId run) {
        if (host.equals(self)) {
            return false;
        }
        EntryHost entry = fleet.hosts().get(host);
        return entry == null
                || entry.state() == EntryHost.State.DEAD
                || entry.incarnation() > run.request().incarnation();
    }

    private void drain(DecisionContext context) {
        draining = true;
        servers.values().stream()
                .filter(OwnedServer::isOpen)
                .forEach(server -> server.close(context, RefusalReason.DRAINING));
    }

    private void wallClock(long nowNanos, long epochMillis) {
        wallClockSet = true;
        wallClockMillis = epochMillis;
        wallClockSetNanos = nowNanos;
    }

    private void tick(DecisionContext context) {
        servers.values().forEach(server -> server.tick(context));
        servers.values().removeIf(s -> !s.isOpen() && s.isEmpty());
        loadExchange.tick(context, openServers(), outbox);
    }

    private List<OwnedServer> openServers() {
        return new ArrayList<>(servers.values().stream().filter(OwnedServer::isOpen).toList());
    }
}

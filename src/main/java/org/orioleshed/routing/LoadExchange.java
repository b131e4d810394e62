package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.DomainLoads;
import org.orioleshed.routing.RoutingMessage.ModelLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoads;

/**
 * Distributes server loads between hosts. An owner sends the loads of its servers to all hosts of
 * its own failure domain. One host of each failure domain sends totals by model to one host of each
 * other domain, which forwards them to the hosts of its domain.
 */
final class LoadExchange {
    private static final long DETAIL_INTERVAL_NANOS = 250_000_000L;
    private static final long TOTAL_INTERVAL_NANOS = 1_000_000_000L;
    private static final long LOAD_EXPIRY_NANOS = 5_000_000_000L;
    private static final long BYTES_PER_LOAD = 24;
    private static final long MAX_DETAIL_BYTES_PER_SECOND = 6_000;
    private static final int MAX_BEST_SERVERS = 4;

    private final HostId self;
    private final Map<ServerId, ReceivedLoad> received = new HashMap<>();
    private long nextDetailNanos = Long.MIN_VALUE;
    private long nextTotalNanos = Long.MIN_VALUE;

    LoadExchange(HostId self) {
        this.self = self;
    }

    /** Records the server loads sent by an owner. */
    void observe(DecisionContext context, ServerLoads loads) {
        loads.loads()
                .forEach(
                        load ->
                                received.put(
                                        load.server(), new ReceivedLoad(load, context.nowNanos())));
    }

    /** Forwards totals from another failure domain to the hosts of this one. */
    void forward(DecisionContext context, HostId from, DomainLoads loads, Outbox outbox) {
        EntryHost sender = context.fleet().hosts().get(from);
        Optional<FailureDomain> own = ownDomain(context.fleet());
        if (sender == null || own.isEmpty() || sender.domain().equals(own.get())) {
            return;
        }
        for (HostId host : hostsOf(context.fleet(), own.get())) {
            if (!host.equals(self)) {
                outbox.send(host, loads);
            }
        }
    }

    /** Sends the loads and totals that are due; {@code servers} are those that this host owns. */
    void tick(DecisionContext context, Collection<OwnedServer> servers, Outbox outbox) {
        Optional<FailureDomain> own = ownDomain(context.fleet());
        if (own.isEmpty()) {
            return;
        }
        List<HostId> hosts = hostsOf(context.fleet(), own.get());
        if (due(nextDetailNanos, context)) {
            List<ServerLoad> loads = servers.stream().map(s -> s.load(context)).toList();
            ServerLoads message = new ServerLoads(loads);
            observe(context, message);
            hosts.forEach(host -> outbox.send(host, message));
            nextDetailNanos = context.nowNanos() + detailIntervalNanos(hosts.size(), loads.size());
        }
        if (due(nextTotalNanos, context)) {
            nextTotalNanos = context.nowNanos() + TOTAL_INTERVAL_NANOS;
            if (isDomainSender(hosts, own.get())) {
                sendTotals(context, own.get(), outbox);
            }
        }
    }

    /**
     * Returns the total load of each model in {@code domain}, over the servers with recent load
     * reports.
     */
    List<ModelLoad> totals(DecisionContext context, FailureDomain domain) {
        received.values()
                .removeIf(entry -> context.nowNanos() - entry.receivedNanos() > LOAD_EXPIRY_NANOS);
        Map<ModelId, List<ServerLoad>> byModel = new TreeMap<>();
        for (ReceivedLoad entry : received.values()) {
            BackendServer server = context.fleet().servers().get(entry.load().server());
            if (server != null
                    && !server.leaving()
                    && server.domain().equals(domain)
                    && server.target() instanceof Target.Model target) {
                byModel.computeIfAbsent(target.model(), m -> new ArrayList<>()).add(entry.load());
            }
        }
        List<ModelLoad> totals = new ArrayList<>();
        byModel.forEach((model, loads) -> totals.add(total(model, loads)));
        return totals;
    }

    private static boolean due(long atNanos, DecisionContext context) {
        return atNanos == Long.MIN_VALUE || atNanos - context.nowNanos() <= 0;
    }

    private static long detailIntervalNanos(int hosts, int loads) {
        long bytes = (hosts - 1L) * loads * BYTES_PER_LOAD;
        return Math.max(
                DETAIL_INTERVAL_NANOS, bytes * 1_000_000_000L / MAX_DETAIL_BYTES_PER_SECOND);
    }

    private boolean isDomainSender(List<HostId> hosts, FailureDomain domain) {
        return Rendezvous.choose(hosts, domain.value()).filter(self::equals).isPresent();
    }

    private void sendTotals(DecisionContext context, FailureDomain own, Outbox outbox) {
        DomainLoads message = new DomainLoads(own, totals(context, own));
        Map<FailureDomain, List<HostId>> byDomain = new TreeMap<>();
        for (EntryHost host : context.fleet().hosts().values()) {
            if (host.takesWork() && !host.domain().equals(own)) {
                byDomain.computeIfAbsent(host.domain(), d -> new ArrayList<>()).add(host.id());
            }
        }
        byDomain.forEach(
                (domain, hosts) ->
                        Rendezvous.choose(hosts, domain.value())
                                .ifPresent(host -> outbox.send(host, message)));
    }

    private static ModelLoad total(ModelId model, List<ServerLoad> loads) {
        List<ServerLoad> sorted = new ArrayList<>(loads);
        sorted.sort(
                Comparator.comparingLong(
                                (ServerLoad load) ->
                                        ServerView.waitForRank(load.waitMillisByRank(), 0))
                        .thenComparingInt(ServerLoad::tokenGapMillis)
                        .thenComparingInt(load -> load.running() - load.limit())
                        .thenComparing(ServerLoad::server));
        int freeSlots = 0;
        for (ServerLoad load : sorted) {
            freeSlots += Math.max(0, load.limit() - load.running());
        }
        List<Long> waits = new ArrayList<>();
        for (int rank = 0; rank <= SlotScheduler.PATIENT_RANK; rank++) {
            waits.add(shortestWait(sorted, rank));
        }
        List<ServerId> best =
                sorted.stream().limit(MAX_BEST_SERVERS).map(ServerLoad::server).toList();
        return new ModelLoad(model, sorted.size(), freeSlots, waits, best);
    }

    private static long shortestWait(List<ServerLoad> loads, int rank) {
        return loads.stream()
                .mapToLong(load -> ServerView.waitForRank(load.waitMillisByRank(), rank))
                .min()
                .orElse(0);
    }

    private Optional<FailureDomain> ownDomain(FleetSnapshot fleet) {
        return Optional.ofNullable(fleet.hosts().get(self)).map(EntryHost::domain);
    }

    private static List<HostId> hostsOf(FleetSnapshot fleet, FailureDomain domain) {
        return fleet.hosts().values().stream()
                .filter(host -> host.domain().equals(domain) && host.takesWork())
                .map(EntryHost::id)
                .sorted()
                .toList();
    }

    /** A load and the time at which it was received. */
    private record ReceivedLoad(ServerLoad load, long receivedNanos) {}
}

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
 * Spreads loads: those of an owner's servers to the hosts of its own failure domain, and sums by
 * model from one host of each failure domain to one host of each other, which passes them on.
 */
final class LoadExchange {
    private static final long DETAIL_INTERVAL_NANOS = 250_000_000L;
    private static final long SUM_INTERVAL_NANOS = 1_000_000_000L;
    private static final long LOAD_EXPIRY_NANOS = 5_000_000_000L;
    private static final long LOAD_BYTES = 24;
    private static final long MAX_DETAIL_BYTES_PER_SECOND = 6_000;
    private static final int BEST_SERVERS = 4;

    private final HostId self;
    private final Map<ServerId, ReceivedLoad> received = new HashMap<>();
    private long nextDetailNanos = Long.MIN_VALUE;
    private long nextSumNanos = Long.MIN_VALUE;

    LoadExchange(HostId self) {
        this.self = self;
    }

    /** Takes in the detail of another owner. */
    void observe(DecisionContext context, ServerLoads loads) {
        loads.loads()
                .forEach(
                        load ->
                                received.put(
                                        load.server(), new ReceivedLoad(load, context.nowNanos())));
    }

    /** Passes a sum from another failure domain on to the hosts of this one. */
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

    /** Sends what is due; {@code loads} are those of the servers that this host is owner of. */
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
        if (due(nextSumNanos, context)) {
            nextSumNanos = context.nowNanos() + SUM_INTERVAL_NANOS;
            if (isDomainSender(hosts, own.get())) {
                sendSums(context, own.get(), outbox);
            }
        }
    }

    /** Returns the load of each model in this host's failure domain, as far as it was received. */
    List<ModelLoad> sums(DecisionContext context, FailureDomain domain) {
        received.values().removeIf(h -> context.nowNanos() - h.atNanos() > LOAD_EXPIRY_NANOS);
        Map<ModelId, List<ServerLoad>> byModel = new TreeMap<>();
        for (ReceivedLoad h : received.values()) {
            BackendServer server = context.fleet().servers().get(h.load().server());
            if (server != null
                    && !server.leaving()
                    && server.domain().equals(domain)
                    && server.target() instanceof Target.Model target) {
                byModel.computeIfAbsent(target.model(), m -> new ArrayList<>()).add(h.load());
            }
        }
        List<ModelLoad> sums = new ArrayList<>();
        byModel.forEach((model, loads) -> sums.add(sum(model, loads)));
        return sums;
    }

    private static boolean due(long atNanos, DecisionContext context) {
        return atNanos == Long.MIN_VALUE || atNanos - context.nowNanos() <= 0;
    }

    private static long detailIntervalNanos(int hosts, int loads) {
        long bytes = (hosts - 1L) * loads * LOAD_BYTES;
        return Math.max(
                DETAIL_INTERVAL_NANOS, bytes * 1_000_000_000L / MAX_DETAIL_BYTES_PER_SECOND);
    }

    private boolean isDomainSender(List<HostId> hosts, FailureDomain domain) {
        return Rendezvous.choose(hosts, domain.value()).filter(self::equals).isPresent();
    }

    private void sendSums(DecisionContext context, FailureDomain own, Outbox outbox) {
        DomainLoads message = new DomainLoads(own, sums(context, own));
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

    private static ModelLoad sum(ModelId model, List<ServerLoad> loads) {
        List<ServerLoad> sorted = new ArrayList<>(loads);
        sorted.sort(
                Comparator.comparingLong(
                                (ServerLoad load) -> ServerView.forRank(load.waitMillisByRank(), 0))
                        .thenComparingInt(ServerLoad::tokenGapMillis)
                        .thenComparingInt(load -> load.running() - load.limit())
                        .thenComparing(ServerLoad::server));
        int free = 0;
        for (ServerLoad load : sorted) {
            free += Math.max(0, load.limit() - load.running());
        }
        List<Long> waits = new ArrayList<>();
        for (int rank = 0; rank <= SlotScheduler.PATIENT_RANK; rank++) {
            waits.add(shortestWait(sorted, rank));
        }
        List<ServerId> best = sorted.stream().limit(BEST_SERVERS).map(ServerLoad::server).toList();
        return new ModelLoad(model, sorted.size(), free, waits, best);
    }

    private static long shortestWait(List<ServerLoad> loads, int rank) {
        return loads.stream()
                .mapToLong(load -> ServerView.forRank(load.waitMillisByRank(), rank))
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

    /** A load and when it came in. */
    private record ReceivedLoad(ServerLoad load, long atNanos) {}
}

package org.orioleshed.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchCodec;
import org.orioleshed.dispatch.DispatchMessage;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/**
 * Forwards requests to other hosts while this one can't reach the servers of a pool, and bounds
 * what it accepts from others. Carries out the decisions of {@link ServerReachability}, {@link
 * RelaySelector} and {@link RelayLimit}.
 */
final class Forwarding {
    /** The relay listener's port, relative to the peer port; metrics are between them. */
    static final int PORT_OFFSET = 2;

    /** The reason of a relay that can't reach the pool itself. */
    static final String POOL_UNREACHABLE = "pool_unreachable";

    /** A connection that is reset after it was established is reset within a round trip. */
    private static final long TRIAL_HOLD_MILLIS = 50;

    /** Hosts rely on a report for three times as long. */
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final boolean enabled;
    private final Member self;
    private final FleetView fleet;
    private final PeerPort peers;
    private final DispatchCodec codec = new DispatchCodec();
    private final HeaderTranslator translator;
    private final Bootstrap bootstrap;
    private final IntSupplier exchangesInFlight;
    private final Consumer<String> log;
    private final ServerReachability reachability;
    private final RelaySelector selector;
    private final RelayLimit limit = new RelayLimit();
    private final Counter forwarded;
    private final Counter acceptedRequests;
    private final Counter refusedRequests;
    private Set<ServiceId> reportedLost = Set.of();
    private long reportedNanos;
    private Consumer<ServiceId> onLost = service -> {};

    /**
     * Creates the forwarding of a host.
     *
     * @param enabled whether the host has a port for it; without one nothing is ever forwarded
     * @param bootstrap connects to servers
     * @param exchangesInFlight returns the number of requests that have begun and not ended
     */
    Forwarding(
            boolean enabled,
            Member self,
            FleetView fleet,
            PeerPort peers,
            HeaderTranslator translator,
            Bootstrap bootstrap,
            IntSupplier exchangesInFlight,
            RandomGenerator random,
            MetricRegistry metrics,
            Consumer<String> log) {
        this.enabled = enabled;
        this.self = self;
        this.reachability = new ServerReachability(self.domain());
        this.fleet = fleet;
        this.peers = peers;
        this.translator = translator;
        this.bootstrap = bootstrap;
        this.exchangesInFlight = exchangesInFlight;
        this.log = log;
        this.selector = new RelaySelector(self, random);
        this.forwarded = metrics.counter("requests_forwarded");
        this.acceptedRequests = metrics.counter("requests_accepted_for_hosts");
        this.refusedRequests = metrics.counter("requests_refused_for_hosts");
    }

    HostId self() {
        return self.id();
    }

    /** Sets a callback for each pool that is lost. */
    void onLost(Consumer<ServiceId> newOnLost) {
        onLost = newOnLost;
    }

    /** Returns the address at which a host accepts forwarded requests. */
    static InetSocketAddress relayAddress(Member host) {
        InetSocketAddress peer = host.address();
        return new InetSocketAddress(peer.getAddress(), peer.getPort() + PORT_OFFSET);
    }

    /** Takes what a connection to a server showed. */
    void observe(ServerReachability.Event event) {
        if (enabled) {
            apply(reachability.on(System.nanoTime(), event));
        }
    }

    /** Takes how long a server has not responded to a request. */
    void awaitsResponse(ServerId server, long silentMillis) {
        if (silentMillis > ServerReachability.POOL_SILENCE_MILLIS) {
            observe(new ServerReachability.Event.AwaitsResponse(server));
        }
    }

    void serversChanged(List<PoolServer> servers) {
        observe(new ServerReachability.Event.ServersChanged(servers));
    }

    void tick() {
        observe(new ServerReachability.Event.Tick());
        reportLost();
    }

    /** Tells the other hosts which pools are lost: on each change, and again while any is. */
    private void reportLost() {
        Set<ServiceId> lost = reachability.lost();
        long nowNanos = System.nanoTime();
        boolean due = !lost.isEmpty() && nowNanos - reportedNanos >= REPORT_INTERVAL_NANOS;
        if (!due && lost.equals(reportedLost)) {
            return;
        }
        reportedLost = lost;
        reportedNanos = nowNanos;
        byte[] bytes = codec.encode(new DispatchMessage.PoolsUnreachable(lost));
        fleet.others().forEach(host -> peers.send(host, MessageKind.DISPATCH, bytes));
    }

    /** Takes the report of a host that can't reach some pools. */
    void reported(HostId host, Set<ServiceId> lost) {
        selector.reported(host, lost, System.nanoTime());
    }

    private void apply(List<ServerReachability.Action> actions) {
        for (ServerReachability.Action action : actions) {
            switch (action) {
                case ServerReachability.Action.Try trial -> open(trial.server());
                case ServerReachability.Action.Lost lost -> {
                    log.accept(
                            "event=servers_lost pool=%s reached=%d tried=%d"
                                    .formatted(lost.service(), lost.reached(), lost.tried()));
                    reportLost();
                    onLost.accept(lost.service());
                }
                case ServerReachability.Action.Returned returned ->
                        log.accept(
                                "event=servers_returned pool=%s reached=%d tried=%d"
                                        .formatted(
                                                returned.service(),
                                                returned.reached(),
                                                returned.tried()));
            }
        }
    }

    /** Opens a connection without a request; it has succeeded if it stays open for a while. */
    private void open(PoolServer server) {
        ChannelFuture future =
                bootstrap.clone().handler(new TrialHandler()).connect(server.address());
        future.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        ended(server.id(), false);
                        return;
                    }
                    Channel channel = future.channel();
                    Runnable check =
                            () -> {
                                ended(server.id(), channel.isActive());
                                channel.close();
                            };
                    var unused =
                            channel.eventLoop()
                                    .schedule(check, TRIAL_HOLD_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    /** Closes a trial connection that is reset; nothing is expected to be read from it. */
    private static final class TrialHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void ended(ServerId server, boolean connected) {
        observe(new ServerReachability.Event.TrialEnded(server, connected));
    }

    /** Returns whether requests of a pool are to be forwarded. */
    boolean mustForward(ServiceId service) {
        return enabled && reachability.mustForward(service);
    }

    /** Returns the servers of a pool that only this host may be unable to reach. */
    Set<ServerId> unreachable(ServiceId service) {
        return enabled ? reachability.unreachable(service, System.nanoTime()) : Set.of();
    }

    /**
     * Returns a relay to which a request was not sent yet; empty if there is none.
     *
     * @param mayReceiveBody whether the body may be sent to a host of a failure domain
     */
    Optional<Member> chooseRelay(
            ServiceId service, Set<HostId> tried, Predicate<FailureDomain> mayReceiveBody) {
        List<Member> allowed =
                fleet.live().stream().filter(it -> mayReceiveBody.test(it.domain())).toList();
        return selector.choose(allowed, service, tried, System.nanoTime());
    }

    void sent(Member relay) {
        forwarded.inc();
        selector.sent(relay.id());
    }

    void ended(Member relay) {
        selector.ended(relay.id());
    }

    /** Returns why a relay did not run a request. */
    RelayRefusal refusal(HttpHeaders headers) {
        return translator.relayRefusal(headers).orElse(RelayRefusal.UNSTATED);
    }

    /** Records that a relay did not run a request. */
    void refused(Member relay, ServiceId service, RelayRefusal refusal) {
        switch (refusal.kind()) {
            case BUSY -> selector.avoid(relay.id(), System.nanoTime());
            case UNREACHABLE -> {
                // A relay in this failure domain may be affected by the same partition.
                if (!relay.domain().equals(self.domain())) {
                    observe(new ServerReachability.Event.UnreachableElsewhere(service));
                }
            }
            case REFUSED -> {}
        }
    }

    /** Accepts a request that another host forwarded, if the limit allows it. */
    boolean tryAccept() {
        int own = exchangesInFlight.getAsInt() - limit.inFlight();
        if (!limit.tryAccept(own)) {
            refusedRequests.inc();
            return false;
        }
        acceptedRequests.inc();
        return true;
    }

    void acceptedEnded() {
        limit.ended();
    }

    /** Marks a response to a forwarding host as "not run". */
    void markNotRun(HttpHeaders headers, String reason, boolean charged) {
        translator.markNotRun(headers, kind(reason), charged);
    }

    private static RelayRefusal.Kind kind(String reason) {
        String code = reason.toLowerCase(Locale.ROOT);
        if (code.equals(POOL_UNREACHABLE)) {
            return RelayRefusal.Kind.UNREACHABLE;
        }
        return Set.of("quota", "overload", "no_server", "held", "time_over").contains(code)
                ? RelayRefusal.Kind.REFUSED
                : RelayRefusal.Kind.BUSY;
    }
}

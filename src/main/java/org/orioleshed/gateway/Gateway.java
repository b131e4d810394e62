package org.orioleshed.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.CallerLimits;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.CatalogWatcher;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerLimits;
import org.orioleshed.peer.PeerNetwork;

/** The data path of one entry host. All state is confined to its data thread. */
public final class Gateway implements RequestAcceptor, GatewayContext, FleetView.Listener {
    /**
     * The tick interval while a request waits for a slot, since the primary's grant may be overdue.
     */
    private static final long PLACING_TICK_MILLIS = 20;

    /** The tick interval while requests are at servers. */
    private static final long BUSY_TICK_MILLIS = 50;

    private static final long IDLE_TICK_MILLIS = 100;

    private static final long SLOW_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(IDLE_TICK_MILLIS);

    /** Connecting within a region takes a few milliseconds; a lost packet would cost a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** The number of connections that Netty accepts before it handles other channels. */
    private static final int ACCEPTED_PER_POLL = 16;

    /** Responses may take this part of the budget for callers: they are copied once they end. */
    private static final int RESPONSE_PART = 2;

    private static final int RUN_BITS = 20;

    private final GatewayOptions options;
    private final RegionRule regionRule;
    private final HeaderTranslator translator;
    private final LogRing log;
    private final RandomGenerator random;
    private final GatewayMetrics metrics;
    private final EventLoopClock loopClock = new EventLoopClock(NioIoHandler.newFactory());
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, loopClock);
    private final EventLoop loop = group.next();
    private final Listeners listeners = new Listeners(group);
    private final AcceptBacklog backlog = new AcceptBacklog(ACCEPTED_PER_POLL);
    private final CallerBuffers buffers;
    private final ResponseBudget<ServerAttempt> responses = new ResponseBudget<>();
    private final StartQueue startQueue;
    private final HostId self;
    private final PeerNetwork peers;
    private final FleetView fleet;
    private final Dispatcher dispatcher;
    private final Forwarding forwarding;
    private final CatalogPropagation propagation;
    private final Bootstrap serverBootstrap;
    private final Map<InetSocketAddress, ServerConnectionPool> pools = new HashMap<>();
    private final Map<ServiceId, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<ServiceId, PoolActivity> poolActivities = new HashMap<>();
    private final Set<Exchange> exchanges = new HashSet<>();
    private final Set<CallerConnection> callers = new HashSet<>();
    private final CatalogWatcher watcher;
    private CatalogSnapshot snapshot = CatalogSnapshot.EMPTY;
    private volatile boolean alone = true;
    private final ShutdownPolicy shutdownPolicy;
    private final GracefulStop gracefulStop;

    /** Whether this host watches the store, as it does from its start on. */
    private boolean watching = true;

    private volatile List<Channel> requestListeners = List.of();
    private long nextRun;
    private final Ticker ticker = new Ticker(loop, this::tick, this::pauseMillis);
    private long slowTickNanos;

    /**
     * Creates a gateway and opens its peer listener.
     *
     * @param options the settings
     * @param translator translates header fields
     * @param watcher watches the configuration and the servers; started with the gateway
     * @param log receives log lines
     * @param random the source of random choices
     * @param incarnation a number that grows with each start of the host
     */
    public Gateway(
            GatewayOptions options,
            HeaderTranslator translator,
            CatalogWatcher watcher,
            LogRing log,
            RandomGenerator random,
            long incarnation) {
        this.options = options;
        this.regionRule = new RegionRule(options.regions(), options.domain());
        this.translator = translator;
        this.watcher = watcher;
        this.log = log;
        this.random = random;
        this.self = FleetView.hostId(options.peer());
        this.shutdownPolicy = new ShutdownPolicy(options.graceMillis());
        this.gracefulStop =
                new GracefulStop(
                        shutdownPolicy,
                        exchanges,
                        callers,
                        this::failed,
                        () -> requestListeners.forEach(Listeners::acceptWaiting),
                        () -> requestListeners.forEach(Channel::close),
                        log::add);
        this.metrics = new GatewayMetrics(log);
        this.buffers = new CallerBuffers(callers, metrics.registry(), log::add);
        this.startQueue =
                new StartQueue(loop, loopClock.lag(), this, exchanges::size, metrics.registry());
        this.nextRun = incarnation << RUN_BITS;
        this.peers =
                new PeerNetwork(
                        self,
                        incarnation,
                        options.peer(),
                        PeerLimits.DEFAULT,
                        (from, kind, body) -> loop.execute(() -> received(from, kind, body)),
                        group);
        Member member =
                new Member(
                        self,
                        options.domain(),
                        options.peer(),
                        incarnation,
                        0,
                        false,
                        Member.Health.ALIVE,
                        options.cpuMillicores());
        this.fleet =
                new FleetView(member, peers, random, System::nanoTime, options.watchTiming(), this);
        this.dispatcher =
                new Dispatcher(
                        self,
                        peers,
                        fleet,
                        options.quotaSlack(),
                        options.rolloutPolicy(),
                        options.pacing(),
                        options.coldBound(),
                        System::nanoTime,
                        System::currentTimeMillis,
                        log::add);
        dispatcher.onRequestSent(ticker::reschedule);
        this.propagation =
                new CatalogPropagation(
                        member,
                        peers,
                        fleet,
                        content -> watcher.adopt(content.operators(), content.servers()),
                        options.watchTiming(),
                        watcher::confirmedNanos,
                        System::nanoTime,
                        random,
                        log::add);
        this.serverBootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        this.forwarding =
                new Forwarding(
                        options.relay().isPresent(),
                        member,
                        fleet,
                        peers,
                        translator,
                        serverBootstrap,
                        exchanges::size,
                        random,
                        metrics.registry(),
                        log::add);
        dispatcher.onPoolsUnreachable(forwarding::reported);
        forwarding.onLost(
                service ->
                        List.copyOf(exchanges).forEach(exchange -> exchange.serversLost(service)));
    }

    /** Returns the metric registry, to which other parts of this process may add. */
    public MetricRegistry metrics() {
        return metrics.registry();
    }

    /** Opens the remaining listeners and begins to serve. */
    public void start() {
        openListeners();
        loop.execute(
                () -> {
                    fleet.registered(options.minHosts());
                    fleet.seed(options.seeds());
                    fleetChanged();
                    ticker.reschedule();
                });
        watcher.start(newer -> loop.execute(() -> catalogChanged(newer)));
    }

    private void openListeners() {
        listeners.listen(options.ready(), new StatusServer(request -> ready()));
        listeners.listen(options.metrics(), new StatusServer(this::operatorsPage));
        RelayAcceptor relay = new RelayAcceptor(this, this);
        List<Channel> opened = new ArrayList<>();
        options.relay()
                .ifPresent(address -> opened.add(listeners.listenForRequests(address, relay)));
        opened.add(listeners.listenForRequests(options.callers(), this));
        requestListeners = List.copyOf(opened);
    }

    /** Sets the recorder of rollout outcomes; call before {@link #start}. */
    public void recorder(RolloutRecorder recorder) {
        dispatcher.recorder(recorder::record);
    }

    /** Takes the outcome of a rollout as recorded in the store; may be called from any thread. */
    public void recorded(RolloutOrder order, RolloutOutcome outcome) {
        loop.execute(() -> dispatcher.rolloutRecorded(order, outcome));
    }

    /** Returns whether this host has no live peer; may be called from any thread. */
    public boolean isAlone() {
        return alone;
    }

    /** Adds peer addresses to the configured seeds; may be called from any thread. */
    public void seed(List<InetSocketAddress> addresses) {
        List<InetSocketAddress> all = new ArrayList<>(options.seeds());
        all.addAll(addresses);
        loop.execute(
                () -> {
                    fleet.registered(addresses.size() + 1);
                    fleet.seed(all);
                    dispatcher.fleetChanged();
                });
    }

    private StatusServer.Reply ready() {
        boolean ready = !shutdownPolicy.begun() && snapshot.usable().isPresent();
        return ready
                ? new StatusServer.Reply(HttpResponseStatus.OK, "ready\n")
                : new StatusServer.Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private StatusServer.Reply operatorsPage(StatusServer.Request request) {
        if (request.path().startsWith(QuarantinePage.PATH)) {
            return new QuarantinePage(dispatcher).reply(request);
        }
        return new StatusServer.Reply(HttpResponseStatus.OK, metrics.write());
    }

    private void received(HostId from, MessageKind kind, byte[] body) {
        try {
            switch (kind) {
                case MEMBERSHIP -> fleet.received(from, body);
                case DISPATCH -> {
                    dispatcher.received(from, body);
                    ticker.reschedule();
                }
                case CATALOG -> propagation.received(from, body);
                case ROUTING, REQUEST, SETTINGS, MOVE -> {}
            }
        } catch (RuntimeException e) {
            failed("peer " + from, e);
        } catch (BadMessageException e) {
            log.add(
                    "event=bad_message from=%s kind=%s reason=\"%s\""
                            .formatted(from, kind, e.getMessage()));
        }
    }

    private void catalogChanged(CatalogSnapshot newer) {
        snapshot = newer;
        metrics.evacuatedDomains(newer.evacuated().size());
        newer.catalog().ifPresent(metrics::configChanged);
        dispatcher.catalogChanged(newer);
        forwarding.serversChanged(newer.servers());
        newer.usable()
                .ifPresent(
                        catalog ->
                                List.copyOf(exchanges)
                                        .forEach(exchange -> exchange.configured(catalog)));
        propagation.catalogChanged(newer);
    }

    private void tick() {
        try {
            tickNow();
        } catch (RuntimeException e) {
            // Deadlines and timeouts depend on this task; a failure must not end it.
            failed("tick", e);
        }
    }

    /** A failure of one exchange must not delay the deadlines of the others. */
    private void tick(Exchange exchange, long nowNanos) {
        try {
            exchange.tick(nowNanos);
        } catch (RuntimeException e) {
            failed("exchange", e);
        }
    }

    private void tickNow() {
        long nowNanos = System.nanoTime();
        List.copyOf(exchanges).forEach(exchange -> tick(exchange, nowNanos));
        dispatcher.tick();
        metrics.update(dispatcher);
        updateWatch();
        propagation.tick();
        if (nowNanos - slowTickNanos >= SLOW_TICK_NANOS) {
            slowTickNanos = nowNanos;
            slowTick(nowNanos);
        }
        gracefulStop.tick(nowNanos);
    }

    private void slowTick(long nowNanos) {
        fleet.tick();
        forwarding.tick();
        buffers.refresh();
        metrics.responseBytes(responses.totalBytes());
        List.copyOf(callers).forEach(caller -> checkIdle(caller, nowNanos));
        pools.values().forEach(pool -> pool.closeExpired(nowNanos));
    }

    private void checkIdle(CallerConnection caller, long nowNanos) {
        try {
            caller.checkIdle(nowNanos);
        } catch (RuntimeException e) {
            failed("idle", e);
        }
    }

    private long pauseMillis() {
        if (dispatcher.isPlacing() || shutdownPolicy.begun()) {
            return PLACING_TICK_MILLIS;
        }
        return exchanges.isEmpty() ? IDLE_TICK_MILLIS : BUSY_TICK_MILLIS;
    }

    /** Stops gracefully: finishes running requests within the grace period, then returns. */
    public void stop() {
        // The grace period counts from here, even if the data thread runs the task late.
        long stopNanos = System.nanoTime();
        loop.execute(() -> beginStop(stopNanos));
        gracefulStop.await(options.graceMillis());
    }

    private void beginStop(long stopNanos) {
        if (gracefulStop.begin(stopNanos)) {
            fleet.leave();
            ticker.reschedule();
        }
    }

    @Override
    public void fleetChanged() {
        alone = fleet.live().size() <= 1;
        updateWatch();
        dispatcher.fleetChanged();
        log.add(
                "event=fleet live=%d known=%d home=%s"
                        .formatted(
                                fleet.live().size(),
                                fleet.quotaUserCount(),
                                dispatcher.primaryName()));
    }

    /** Begins or ends to watch the store, as the other hosts of the failure domain make needed. */
    private void updateWatch() {
        boolean watches = fleet.watchesStore();
        if (watches != watching) {
            watching = watches;
            watcher.follow(watches);
            log.add("event=watching_store enabled=" + watches);
        }
    }

    @Override
    public void hostDied(HostId host) {
        log.add("event=host_died host=" + host);
        dispatcher.hostDied(host);
    }

    @Override
    public boolean opened(CallerConnection connection) {
        callers.add(connection);
        boolean waitedInBacklog = backlog.accept(loopClock.lag().polls());
        return waitedInBacklog || isLate();
    }

    @Override
    public void closed(CallerConnection connection) {
        callers.remove(connection);
        buffers.remove(connection);
    }

    @Override
    public CallerLimits limits() {
        return snapshot.catalog().map(catalog -> catalog.limits()).orElse(CallerLimits.DEFAULT);
    }

    @Override
    public long limitChangeMillis() {
        return options.watchTiming().boundMillis();
    }

    @Override
    public ShutdownPolicy shutdownPolicy() {
        return shutdownPolicy;
    }

    @Override
    public boolean isLeaving() {
        return shutdownPolicy.begun();
    }

    @Override
    public Optional<StartQueue.PendingStart> hold(
            CallerConnection connection, CallerRequest request) {
        return startQueue.hold(connection, request);
    }

    @Override
    public void withdraw(StartQueue.PendingStart pending) {
        startQueue.withdraw(pending);
    }

    @Override
    public void refuse(StartQueue.PendingStart pending) {
        startQueue.refuse(pending);
    }

    /**
     * Sets the budget for what this host buffers for callers that read or write slowly; call before
     * {@link #start}.
     *
     * @param budgetBytes the total, in bytes; 0 for none: the host stops reading a server's
     *     response as soon as its caller does not read. Half as much may be kept of responses that
     *     have not ended
     */
    public void bufferBudget(long budgetBytes) {
        loop.execute(
                () -> {
                    buffers.limit(budgetBytes);
                    responses.limit(budgetBytes / RESPONSE_PART);
                });
    }

    @Override
    public CallerBuffers buffers() {
        return buffers;
    }

    @Override
    public void markRejected(HttpHeaders headers) {}

    @Override
    public Exchange exchange(CallerConnection connection, CallerRequest request) {
        metrics.recordAccepted();
        return new Exchange(this, connection, request);
    }

    @Override
    public void failed(String context, Throwable cause) {
        metrics.recordFault();
        StackTraceElement[] frames = cause.getStackTrace();
        log.add(
                "event=fault context=%s error=\"%s\" at=%s"
                        .formatted(
                                context,
                                cause,
                                frames.length == 0 ? "unknown" : frames[0].toString()));
    }

    @Override
    public void closing(CloseReason reason, String details) {
        metrics.recordClose(reason);
        log.add(
                "event=caller_closed reason=%s %s unread_ms=%d"
                        .formatted(
                                reason,
                                details,
                                TimeUnit.NANOSECONDS.toMillis(
                                        loopClock.lag().unreadNanos(System.nanoTime()))));
    }

    @Override
    public void rejected(int status, String reason) {
        metrics.recordResponse(status);
        log.add("event=refused_unread status=%d reason=%s".formatted(status, reason));
    }

    @Override
    public CatalogSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public HeaderTranslator translator() {
        return translator;
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    @Override
    public ResponseBudget<ServerAttempt> responses() {
        return responses;
    }

    @Override
    public Forwarding forwarding() {
        return forwarding;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public FailureDomain domain() {
        return options.domain();
    }

    @Override
    public RegionRule regionRule() {
        return regionRule;
    }

    @Override
    public RunKey nextRun() {
        return new RunKey(self, nextRun++);
    }

    @Override
    public ServerConnectionPool pool(InetSocketAddress address) {
        return pools.computeIfAbsent(
                address,
                key ->
                        new ServerConnectionPool(
                                serverBootstrap, translator, address, this::isLate));
    }

    @Override
    public RetryBudget retryBudget(ServiceId service) {
        return retryBudgets.computeIfAbsent(
                service, key -> new RetryBudget(options.retryRatio(), options.retryWindowMillis()));
    }

    @Override
    public PoolActivity poolActivity(ServiceId service) {
        return poolActivities.computeIfAbsent(service, key -> new PoolActivity());
    }

    @Override
    public double fixedRetryShare() {
        return options.retrySlack() / fleet.quotaUserCount();
    }

    @Override
    public long retryAfterMillis(long leftMillis) {
        return Math.max(0, leftMillis) / 4;
    }

    @Override
    public void started(Exchange exchange) {
        exchanges.add(exchange);
        ticker.reschedule();
    }

    @Override
    public boolean isLate() {
        return loopClock.lag().isLate(System.nanoTime());
    }

    @Override
    public void runLater(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void finished(Exchange exchange, int status, long totalMillis) {
        exchanges.remove(exchange);
        metrics.recordFinished(status, totalMillis);
    }

    @Override
    public void firstEvent(long millis) {
        metrics.recordFirstEvent(millis);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}

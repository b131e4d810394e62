package org.orioleshed.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
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

/** One entry host's data path. Owns the data thread, on which all of its state lives. */
public final class Gateway implements RequestAcceptor, GatewayContext, FleetView.Listener {
    /** While a request waits for its place, which the primary may not give in time. */
    private static final long PLACING_TICK_MILLIS = 20;

    /** While requests are at servers. */
    private static final long BUSY_TICK_MILLIS = 50;

    private static final long IDLE_TICK_MILLIS = 100;

    /** A tick that is later than this tells of a host that got no processor. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** What waited unread while the host was held up is read within this time. */
    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The loop reads all that waits before it runs what is due this much later. */
    private static final long SOON_MILLIS = 5;

    private static final long SLOW_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(IDLE_TICK_MILLIS);

    /** A connection within a region takes a few milliseconds; a lost packet costs a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private static final int BACKLOG = 1_024;

    private static final int RUN_BITS = 20;
    private static final long METRICS_WINDOW_SECONDS = 60;

    private final GatewayOptions options;
    private final HeaderTranslator translator;
    private final LogRing log;
    private final RandomGenerator random;
    private final MetricRegistry metrics = new MetricRegistry();
    private MetricsText metricsText;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HostId self;
    private final PeerNetwork peers;
    private final FleetView fleet;
    private final Dispatcher dispatcher;
    private final CatalogPropagation propagation;
    private final Bootstrap serverBootstrap;
    private final Map<InetSocketAddress, ServerPool> pools = new HashMap<>();
    private final Map<ServiceId, RetryWindow> retryWindows = new HashMap<>();
    private final Set<Exchange> exchanges = new HashSet<>();
    private final Set<CallerConnection> callers = new HashSet<>();
    private final Histogram firstEventMillis;
    private final Histogram answerMillis;
    private final Counter acceptedRequests;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CatalogWatcher watcher;
    private CatalogSnapshot snapshot = CatalogSnapshot.NOTHING;
    private volatile boolean alone = true;
    private final LeavingRule leaving;
    private boolean keptClosed;
    private Channel front;
    private long nextRun;
    private final Ticker ticker = new Ticker(loop, this::tick, this::pauseMillis);
    private long tickedNanos = System.nanoTime();
    private long lateNanos = tickedNanos - CATCH_UP_NANOS;
    private long slowTickNanos;

    /**
     * Opens the address for peers.
     *
     * @param watcher keeps the configuration and the servers; is started with the gateway
     * @param incarnation grows with each start of the host
     */
    public Gateway(
            GatewayOptions options,
            HeaderTranslator translator,
            CatalogWatcher watcher,
            LogRing log,
            RandomGenerator random,
            long incarnation) {
        this.options = options;
        this.translator = translator;
        this.watcher = watcher;
        this.log = log;
        this.random = random;
        this.self = FleetView.hostId(options.peer());
        this.leaving = new LeavingRule(options.graceMillis());
        this.nextRun = incarnation << RUN_BITS;
        this.firstEventMillis = histogram("first_event_millis");
        this.answerMillis = histogram("answer_millis");
        this.acceptedRequests = metrics.counter("requests");
        metrics.gauge("log_lines_dropped", () -> log::dropped);
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
                        Member.Health.ALIVE);
        this.fleet = new FleetView(member, peers, random, System::nanoTime, this);
        this.dispatcher =
                new Dispatcher(
                        self,
                        peers,
                        fleet,
                        options.quotaSlack(),
                        options.rolloutPolicy(),
                        System::nanoTime,
                        log::add);
        dispatcher.whenRequested(ticker::wake);
        this.propagation =
                new CatalogPropagation(
                        member,
                        peers,
                        fleet,
                        content -> watcher.adopt(content.operators(), content.servers()),
                        System::nanoTime,
                        random,
                        log::add);
        this.serverBootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    private Histogram histogram(String name) {
        return metrics.register(
                name,
                new Histogram(
                        new SlidingTimeWindowArrayReservoir(
                                METRICS_WINDOW_SECONDS, TimeUnit.SECONDS)));
    }

    /** Returns the registry for the metrics of others in this process. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Opens the address for callers and begins to serve. */
    public void start() {
        listen(options.ready(), new StatusServer(path -> ready()));
        listen(options.metrics(), new StatusServer(this::metricsPage));
        front = listen(options.callers(), frontHandler());
        loop.execute(
                () -> {
                    fleet.registered(options.leastHosts());
                    fleet.seed(options.seeds());
                    fleetChanged();
                    ticker.wake();
                });
        watcher.start(newer -> loop.execute(() -> take(newer)));
    }

    /** Takes what records outcomes of rollouts; to be called before the start. */
    public void recorder(RolloutRecorder recorder) {
        dispatcher.recorder(recorder::record);
    }

    /** The store holds an outcome of a rollout; may be called from any thread. */
    public void recorded(RolloutOrder order, RolloutOutcome outcome) {
        loop.execute(() -> dispatcher.recorded(order, outcome));
    }

    /** Returns whether this host sees no other; may be called from any thread. */
    public boolean isAlone() {
        return alone;
    }

    /** Takes peer addresses to try, beside those known. */
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

    private Channel listen(InetSocketAddress address, ChannelHandler handler) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handler)
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private ChannelHandler frontHandler() {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new StrictRequestDecoder(limits().maxHeaderBytes()))
                        .addLast(new HttpResponseEncoder())
                        .addLast(new CallerConnection(Gateway.this));
            }
        };
    }

    private StatusServer.Reply ready() {
        boolean ready = !leaving.begun() && snapshot.usable().isPresent();
        return ready
                ? new StatusServer.Reply(HttpResponseStatus.OK, "ready\n")
                : new StatusServer.Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private StatusServer.Reply metricsPage(String path) {
        if (metricsText == null) {
            metricsText = new MetricsText(metrics);
        }
        return new StatusServer.Reply(HttpResponseStatus.OK, metricsText.write());
    }

    private void received(HostId from, MessageKind kind, byte[] body) {
        try {
            switch (kind) {
                case MEMBERSHIP -> fleet.received(from, body);
                case DISPATCH -> {
                    dispatcher.received(from, body);
                    ticker.wake();
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

    private void take(CatalogSnapshot newer) {
        snapshot = newer;
        dispatcher.changed(newer);
        newer.usable()
                .ifPresent(
                        catalog ->
                                List.copyOf(exchanges)
                                        .forEach(exchange -> exchange.configured(catalog)));
        propagation.changed(newer);
    }

    private void tick() {
        try {
            tickNow();
        } catch (RuntimeException e) {
            // A task that throws is not run again, and this one keeps all promises about time.
            failed("tick", e);
        }
    }

    private void tickNow() {
        long nowNanos = System.nanoTime();
        if (nowNanos - tickedNanos > LATE_NANOS) {
            lateNanos = nowNanos;
        }
        tickedNanos = nowNanos;
        List.copyOf(exchanges).forEach(exchange -> exchange.tick(nowNanos));
        dispatcher.tick();
        propagation.tick();
        if (nowNanos - slowTickNanos >= SLOW_TICK_NANOS) {
            slowTickNanos = nowNanos;
            fleet.tick();
            List.copyOf(callers).forEach(caller -> caller.checkIdle(nowNanos, limits()));
            pools.values().forEach(pool -> pool.closeOld(nowNanos));
        }
        if (leaving.begun()) {
            leave(nowNanos);
        }
    }

    private long pauseMillis() {
        if (dispatcher.isPlacing() || leaving.begun()) {
            return PLACING_TICK_MILLIS;
        }
        return exchanges.isEmpty() ? IDLE_TICK_MILLIS : BUSY_TICK_MILLIS;
    }

    /** Stops gracefully: finishes what runs, within the grace period; returns at the end. */
    public void stop() {
        // The grace period counts from here, also where the data thread hears of it late.
        long toldNanos = System.nanoTime();
        loop.execute(() -> beginToLeave(toldNanos));
        try {
            var unused = stopped.await(options.graceMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void beginToLeave(long toldNanos) {
        if (leaving.begun()) {
            return;
        }
        leaving.begin(toldNanos);
        log.add(
                "event=leaving running=%d connections=%d"
                        .formatted(exchanges.size(), callers.size()));
        fleet.leave();
        ticker.wake();
    }

    private void leave(long nowNanos) {
        boolean over = leaving.isOver(nowNanos);
        if (leaving.isStillSent(nowNanos) && !over) {
            return;
        }
        closeKept();
        if (over) {
            endAll();
        }
        boolean idle = exchanges.isEmpty() && callers.isEmpty();
        if (idle || leaving.isLast(nowNanos)) {
            end(nowNanos);
        }
    }

    /** Gives all that is left its final answer, and closes when that is written. */
    private void endAll() {
        // Those that wait go first: the place of one that ends must not go to them.
        List<Exchange> left = new ArrayList<>(exchanges);
        left.sort(Comparator.comparing(Exchange::isSent));
        for (Exchange exchange : left) {
            try {
                exchange.hostEnds();
            } catch (RuntimeException e) {
                failed("end", e);
            }
        }
        List.copyOf(callers).forEach(CallerConnection::closeSoon);
    }

    /** Closes connections that callers keep; those that come later are closed by their answer. */
    private void closeKept() {
        if (!keptClosed) {
            keptClosed = true;
            List.copyOf(callers).forEach(CallerConnection::closeSoon);
        }
    }

    private void end(long nowNanos) {
        if (stopped.getCount() == 0) {
            return;
        }
        front.close();
        log.add("event=stopped after_ms=" + leaving.sinceMillis(nowNanos));
        stopped.countDown();
    }

    @Override
    public void fleetChanged() {
        alone = fleet.live().size() <= 1;
        watcher.follow(fleet.watchesStore());
        dispatcher.fleetChanged();
        log.add(
                "event=fleet live=%d known=%d home=%s"
                        .formatted(fleet.live().size(), fleet.known(), dispatcher.primaryName()));
    }

    @Override
    public void hostDied(HostId host) {
        log.add("event=host_died host=" + host);
        dispatcher.hostDied(host);
    }

    @Override
    public void opened(CallerConnection connection) {
        callers.add(connection);
    }

    @Override
    public void closed(CallerConnection connection) {
        callers.remove(connection);
    }

    @Override
    public CallerLimits limits() {
        return snapshot.catalog().map(catalog -> catalog.limits()).orElse(CallerLimits.DEFAULT);
    }

    @Override
    public LeavingRule leaving() {
        return leaving;
    }

    @Override
    public boolean isLeaving() {
        return leaving.begun();
    }

    @Override
    public Exchange exchange(CallerConnection connection, CallerRequest request) {
        acceptedRequests.inc();
        return new Exchange(this, connection, request);
    }

    @Override
    public void failed(String whom, Throwable cause) {
        metrics.counter("faults").inc();
        StackTraceElement[] frames = cause.getStackTrace();
        log.add(
                "event=fault whom=%s error=\"%s\" at=%s"
                        .formatted(
                                whom,
                                cause,
                                frames.length == 0 ? "unknown" : frames[0].toString()));
    }

    @Override
    public void refused(int status, String reason) {
        metrics.counter("answers." + status).inc();
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
    public RandomGenerator random() {
        return random;
    }

    @Override
    public FailureDomain domain() {
        return options.domain();
    }

    @Override
    public RunKey nextRun() {
        return new RunKey(self, nextRun++);
    }

    @Override
    public ServerPool pool(InetSocketAddress address) {
        return pools.computeIfAbsent(
                address, key -> new ServerPool(serverBootstrap, translator, address));
    }

    @Override
    public RetryWindow retries(ServiceId service) {
        return retryWindows.computeIfAbsent(
                service, key -> new RetryWindow(options.retryRatio(), options.retryWindowMillis()));
    }

    @Override
    public double fixedRetries() {
        return options.retrySlack() / fleet.known();
    }

    @Override
    public long retryAfterMillis(long leftMillis) {
        return Math.max(0, leftMillis) / 4;
    }

    @Override
    public void started(Exchange exchange) {
        exchanges.add(exchange);
        ticker.wake();
    }

    @Override
    public boolean isLate() {
        long nowNanos = System.nanoTime();
        return nowNanos - tickedNanos > LATE_NANOS || nowNanos - lateNanos < CATCH_UP_NANOS;
    }

    @Override
    public void soon(Runnable task) {
        var unused = loop.schedule(task, SOON_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void finished(Exchange exchange, int status, long totalMillis) {
        exchanges.remove(exchange);
        metrics.counter("answers." + status).inc();
        if (status > 0 && status < 400) {
            answerMillis.update(totalMillis);
        }
    }

    @Override
    public void firstEvent(long millis) {
        firstEventMillis.update(millis);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}

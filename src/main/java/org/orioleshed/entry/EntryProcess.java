package org.orioleshed.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.orioleshed.admin.AdminServer;
import org.orioleshed.backend.BackendLimits;
import org.orioleshed.backend.Backends;
import org.orioleshed.backend.ReportPoller;
import org.orioleshed.control.ControlDuty;
import org.orioleshed.control.HttpServerOrders;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostCore;
import org.orioleshed.host.HostEvent;
import org.orioleshed.host.HostLimits;
import org.orioleshed.host.NaiveHost;
import org.orioleshed.http.HttpClients;
import org.orioleshed.model.HostId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerLimits;
import org.orioleshed.peer.PeerNetwork;
import org.orioleshed.routing.ServerOwners;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.store.Store;

/** Creates, connects, starts and stops the components and threads of one entry host. */
final class EntryProcess implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SHUTDOWN_MARGIN_MILLIS = 5_000;
    private static final long LOG_FLUSH_MILLIS = 500;
    private static final long REPLY_FLUSH_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long REPLY_FLUSH_POLL_MILLIS = 10;

    private final EntrySettings settings;
    private final EntryLimits limits = EntryLimits.DEFAULT;
    private final MetricRegistry metrics = new MetricRegistry();
    private final EntryMetrics entryMetrics = new EntryMetrics(metrics);
    private final long incarnation = System.currentTimeMillis();
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final DecisionLog log;
    private final Thread logThread;
    private final ActionExecutor actions;
    private final HostEventLoop eventLoop;
    private final Backends backends;
    private final PeerNetwork peers;
    private final PeerTransport transport;
    private final QuarantineAdmin quarantine;
    private final RequestParser parser;
    private final CallerServer callers;
    private final ControlDuty control;
    private final HttpClient orderClient =
            HttpClients.create(
                    Duration.ofMillis(BackendLimits.DEFAULT.connectTimeoutMillis()),
                    Executors.newVirtualThreadPerTaskExecutor());
    private AdminServer admin;
    private final ReportPoller reports;
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile List<BackendServer> ownServers = List.of();
    private ServerOwners owners = ServerOwners.NONE;

    EntryProcess(EntrySettings settings, Store store) throws IOException {
        this.settings = settings;
        this.log = new DecisionLog(limits.logRingCapacity(), metrics.counter("log.dropped"));
        this.logThread = Thread.ofPlatform().name("decision-log").daemon().unstarted(log);
        this.transport = new PeerTransport(metrics);
        this.actions = new ActionExecutor(entryMetrics, log, store, transport);
        StateMachine<HostEvent, HostAction> core = core();
        this.eventLoop = new HostEventLoop(core, actions, limits);
        this.backends = new Backends(BackendLimits.DEFAULT, eventLoop::put);
        actions.connect(backends, eventLoop::put);
        this.peers =
                new PeerNetwork(
                        settings.host(),
                        incarnation,
                        settings.peerAddress(),
                        PeerLimits.DEFAULT,
                        this::received);
        transport.connect(peers);
        this.parser = new RequestParser(settings.host(), incarnation);
        this.callers =
                new CallerServer(
                        settings.callerAddress(),
                        parser,
                        actions,
                        eventLoop,
                        limits,
                        metrics,
                        entryMetrics,
                        this::ready);
        this.control =
                new ControlDuty(
                        settings,
                        incarnation,
                        store,
                        peers,
                        new HttpServerOrders(orderClient),
                        this::fleetChanged,
                        System::nanoTime,
                        InstantSource.system(),
                        new SplittableRandom(incarnation));
        actions.observer(
                observed ->
                        control.observed(
                                observed.route(),
                                observed.version(),
                                observed.server(),
                                observed.result()));
        this.quarantine =
                new QuarantineAdmin(
                        core instanceof HostCore host ? Optional.of(host) : Optional.empty(),
                        actions);
        this.reports =
                new ReportPoller(
                        BackendLimits.DEFAULT.connectTimeoutMillis(),
                        () -> ownServers,
                        eventLoop::put);
        registerGauges();
    }

    private StateMachine<HostEvent, HostAction> core() {
        return switch (settings.policy()) {
            case NAIVE -> new NaiveHost();
            case ORIOLESHED ->
                    new HostCore(
                            settings.host(),
                            settings.domain(),
                            incarnation,
                            HostLimits.DEFAULTS,
                            new SplittableRandom(incarnation));
        };
    }

    /** Starts all threads and listeners. */
    void start() throws IOException {
        logThread.start();
        Thread.ofPlatform().name("decisions").daemon().start(eventLoop);
        control.start();
        reports.start();
        callers.start();
        startAdmin();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAndWait, "stop"));
        logger.atInfo().log(
                "event=started host=%s domain=%s incarnation=%d callers=%s",
                settings.host(), settings.domain(), incarnation, settings.callerAddress());
    }

    /** Requests a graceful stop, as the shutdown hook does on a termination signal. */
    void requestStop() {
        stopRequested.countDown();
    }

    /**
     * Waits for a stop request, then drains: waits for all open requests to finish, at most for the
     * drain time of the settings.
     */
    void awaitStop() throws InterruptedException {
        stopRequested.await();
        callers.drain();
        control.drain();
        eventLoop.put(new HostEvent.DrainRequested());
        boolean finished = actions.drained().await(settings.drainMillis(), TimeUnit.MILLISECONDS);
        if (!finished) {
            eventLoop.put(new HostEvent.DrainTimedOut());
        }
        awaitOpenReplies();
        logger.atInfo().log(
                "event=stopped host=%s finished=%s open=%d",
                settings.host(), finished, actions.openCallers());
    }

    /** Waits for the callers' threads, which write the last reply after the event loop is done. */
    private void awaitOpenReplies() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + REPLY_FLUSH_NANOS;
        while (actions.openCallers() > 0 && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(REPLY_FLUSH_POLL_MILLIS);
        }
    }

    private void startAdmin() throws IOException {
        if (settings.adminAddress().isEmpty()) {
            return;
        }
        admin =
                AdminServer.start(
                        settings.adminAddress().get(),
                        settings.operators(),
                        new EntryAdminBackend(
                                control, eventLoop, actions, quarantine, () -> fleet));
    }

    private void stopAndWait() {
        requestStop();
        try {
            boolean closed =
                    stopped.await(
                            settings.drainMillis() + SHUTDOWN_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            if (!closed) {
                logger.atWarning().log("event=stop-timeout host=%s", settings.host());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fleetChanged(FleetSnapshot newFleet) {
        actions.fleet(newFleet);
        parser.fleet(newFleet);
        owners = owners.withFleet(newFleet);
        ownServers = newFleet.servers().values().stream().filter(this::isOwnerOf).toList();
        eventLoop.put(new HostEvent.FleetChanged(newFleet));
        // Readiness depends on this field. It is set last, so that all components of a ready host
        // have the fleet snapshot.
        fleet = newFleet;
    }

    private boolean isOwnerOf(BackendServer server) {
        return owners.owner(server.id()).filter(settings.host()::equals).isPresent();
    }

    private void received(HostId from, MessageKind kind, byte[] body) {
        switch (kind) {
            case ROUTING, REQUEST -> transport.decode(from, kind, body).ifPresent(eventLoop::put);
            case MEMBERSHIP, SETTINGS, MOVE -> control.peerReceived(from, kind, body);
            case DISPATCH, CATALOG -> {}
        }
    }

    private boolean ready() {
        return fleet.settingsRevision() > 0;
    }

    private void registerGauges() {
        metrics.register("callers.open", (Gauge<Integer>) actions::openCallers);
        metrics.register("streams.open", (Gauge<Integer>) backends::openStreams);
        metrics.register("ring.waiting", (Gauge<Integer>) eventLoop::queuedEvents);
        metrics.register("peers.sentBytes", (Gauge<Long>) peers::sentBytes);
        metrics.register("control.dropped", (Gauge<Long>) control::droppedMessages);
        metrics.register("peers.dropped", (Gauge<Long>) peers::droppedMessages);
        metrics.register("settings.revision", (Gauge<Long>) () -> fleet.settingsRevision());
    }

    private void awaitLog() {
        try {
            logThread.join(LOG_FLUSH_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        control.close();
        if (admin != null) {
            admin.close();
        }
        reports.close();
        callers.close();
        orderClient.shutdownNow();
        eventLoop.close();
        backends.close();
        peers.close();
        log.close();
        awaitLog();
        stopped.countDown();
    }
}

package org.orioleshed.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.http.HttpClient;
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
import org.orioleshed.backend.HttpClients;
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
import org.orioleshed.model.HostId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerLimits;
import org.orioleshed.peer.PeerNetwork;
import org.orioleshed.routing.ServerOwners;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.store.Store;

/** One entry host: its threads and what joins them. */
final class EntryProcess implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long CLOSE_MARGIN_MILLIS = 5_000;
    private static final long LAST_LINES_MILLIS = 500;
    private static final long LAST_WRITES_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LAST_WRITES_POLL_MILLIS = 10;

    private final EntrySettings settings;
    private final EntryLimits limits = EntryLimits.DEFAULT;
    private final MetricRegistry metrics = new MetricRegistry();
    private final EntryMetrics entryMetrics = new EntryMetrics(metrics);
    private final long incarnation = System.currentTimeMillis();
    private final CountDownLatch stopAsked = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final DecisionLog log;
    private final Thread logThread;
    private final HostActions actions;
    private final HostDuty duty;
    private final Backends backends;
    private final PeerNetwork peers;
    private final PeerMail mail;
    private final PoisonDesk poison;
    private final CallerHandler handler;
    private final CallerServer callers;
    private final ControlDuty control;
    private final HttpClient orderClient =
            HttpClients.create(
                    BackendLimits.DEFAULT.connectTimeoutMillis(),
                    Executors.newVirtualThreadPerTaskExecutor());
    private AdminServer admin;
    private final ReportPoller reports;
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile List<BackendServer> ownServers = List.of();
    private ServerOwners owners = ServerOwners.NONE;

    EntryProcess(EntrySettings settings, Store store) throws IOException {
        this.settings = settings;
        this.log = new DecisionLog(limits.logLines(), metrics.counter("log.dropped"));
        this.logThread = Thread.ofPlatform().name("decision-log").daemon().unstarted(log);
        this.mail = new PeerMail(metrics);
        this.actions = new HostActions(entryMetrics, log, store, mail);
        StateMachine<HostEvent, HostAction> core = core();
        this.duty = new HostDuty(core, actions, limits);
        this.backends = new Backends(BackendLimits.DEFAULT, duty::add);
        actions.connect(backends, duty::add);
        this.peers =
                new PeerNetwork(
                        settings.host(),
                        incarnation,
                        settings.peerAddress(),
                        PeerLimits.DEFAULT,
                        this::received);
        mail.connect(peers);
        this.handler = new CallerHandler(settings.host(), incarnation);
        this.callers =
                new CallerServer(
                        settings.callerAddress(),
                        handler,
                        actions,
                        duty,
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
                        this::changed,
                        System::nanoTime,
                        InstantSource.system(),
                        new SplittableRandom(incarnation));
        actions.observer(
                seen ->
                        control.observed(
                                seen.route(), seen.version(), seen.server(), seen.result()));
        this.poison =
                new PoisonDesk(
                        core instanceof HostCore host ? Optional.of(host) : Optional.empty(),
                        actions);
        this.reports =
                new ReportPoller(
                        BackendLimits.DEFAULT.connectTimeoutMillis(), () -> ownServers, duty::add);
        gauges();
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

    /** Starts all threads. */
    void start() throws IOException {
        logThread.start();
        Thread.ofPlatform().name("decisions").daemon().start(duty);
        control.start();
        reports.start();
        callers.start();
        startAdmin();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAndWait, "stop"));
        logger.atInfo().log(
                "event=started host=%s domain=%s incarnation=%d callers=%s",
                settings.host(), settings.domain(), incarnation, settings.callerAddress());
    }

    /** Begins a graceful stop, as the signal does. */
    void askStop() {
        stopAsked.countDown();
    }

    /**
     * Waits for the signal to stop and for all that runs to finish, within the bound that the
     * settings state.
     */
    void awaitStop() throws InterruptedException {
        stopAsked.await();
        callers.drain();
        control.drain();
        duty.add(new HostEvent.DrainRequested());
        boolean finished = actions.drained().await(settings.drainMillis(), TimeUnit.MILLISECONDS);
        if (!finished) {
            duty.add(new HostEvent.DrainTimedOut());
        }
        awaitLastWrites();
        logger.atInfo().log(
                "event=stopped host=%s finished=%s open=%d",
                settings.host(), finished, actions.openCallers());
    }

    /** The decisions are done with a request before its caller's thread has written the end. */
    private void awaitLastWrites() throws InterruptedException {
        long untilNanos = System.nanoTime() + LAST_WRITES_NANOS;
        while (actions.openCallers() > 0 && System.nanoTime() - untilNanos < 0) {
            Thread.sleep(LAST_WRITES_POLL_MILLIS);
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
                        new EntryAdmin(control, duty, actions, poison, () -> fleet));
    }

    private void stopAndWait() {
        askStop();
        try {
            boolean closed =
                    stopped.await(
                            settings.drainMillis() + CLOSE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            if (!closed) {
                logger.atWarning().log("event=stop-timeout host=%s", settings.host());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void changed(FleetSnapshot newFleet) {
        actions.fleet(newFleet);
        handler.fleet(newFleet);
        owners = owners.withFleet(newFleet);
        ownServers = newFleet.servers().values().stream().filter(this::isOwnerOf).toList();
        duty.add(new HostEvent.FleetChanged(newFleet));
        // Readiness goes by this: last, so that a host that is ready knows its callers and servers.
        fleet = newFleet;
    }

    private boolean isOwnerOf(BackendServer server) {
        return owners.owner(server.id()).filter(settings.host()::equals).isPresent();
    }

    private void received(HostId from, MessageKind kind, byte[] body) {
        switch (kind) {
            case ROUTING, REQUEST -> mail.open(from, kind, body).ifPresent(duty::add);
            case MEMBERSHIP, SETTINGS, MOVE -> control.peerReceived(from, kind, body);
            case DISPATCH, CATALOG -> {}
        }
    }

    private boolean ready() {
        return fleet.settingsRevision() > 0;
    }

    private void gauges() {
        metrics.register("callers.open", (Gauge<Integer>) actions::openCallers);
        metrics.register("streams.open", (Gauge<Integer>) backends::openStreams);
        metrics.register("ring.waiting", (Gauge<Integer>) duty::waiting);
        metrics.register("peers.sentBytes", (Gauge<Long>) peers::sentBytes);
        metrics.register("control.dropped", (Gauge<Long>) control::droppedMessages);
        metrics.register("peers.dropped", (Gauge<Long>) peers::droppedMessages);
        metrics.register("settings.revision", (Gauge<Long>) () -> fleet.settingsRevision());
    }

    private void awaitLog() {
        try {
            logThread.join(LAST_LINES_MILLIS);
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
        duty.close();
        backends.close();
        peers.close();
        log.close();
        awaitLog();
        stopped.countDown();
    }
}

package org.orioleshed.control;

import com.google.common.flogger.FluentLogger;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jctools.queues.MpscArrayQueue;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.rollout.RolloutEvent;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RolloutStatus;
import org.orioleshed.rollout.RunResult;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.ProposedChange;
import org.orioleshed.settings.SettingsDocument;
import org.orioleshed.store.Store;

/**
 * The control duty of one entry host: a single thread that maintains membership, settings, the
 * platform's lists and rollouts, and publishes a new {@link FleetSnapshot} whenever one of them
 * changes. Keeps working while the store is unavailable. All methods are thread-safe; none blocks
 * except {@link #close}.
 */
public final class ControlDuty implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int QUEUE_CAPACITY = 8_192;
    private static final int STORE_QUEUE_CAPACITY = 4_096;
    private static final int MAX_BATCH_EVENTS = 256;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final MpscArrayQueue<ControlEvent> events = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final MpscArrayQueue<ControlEvent> storeEvents =
            new MpscArrayQueue<>(STORE_QUEUE_CAPACITY);
    private final LongAdder dropped = new LongAdder();
    private final AtomicInteger waiting = new AtomicInteger();
    private final LongSupplier nanoClock;
    private final InstantSource wallClock;
    private final ControlCore core;
    private final Thread thread;
    private volatile boolean stopping;

    /**
     * Creates the duty without starting its thread; see {@link #start}.
     *
     * @param settings the host's own settings file
     * @param incarnation the host's incarnation, which increases with each start
     * @param store the platform's key-value service; not closed by this class
     * @param peers sends messages to other entry hosts; receives their addresses
     * @param orders sends orders to backend servers
     * @param snapshots called on the control thread with each new fleet snapshot; must not block
     * @param nanoClock the monotonic clock, in nanoseconds
     * @param wallClock the wall clock, for the timestamps of changes
     * @param random adds jitter to the timing of store calls and selects peers
     */
    public ControlDuty(
            EntrySettings settings,
            long incarnation,
            Store store,
            PeerPort peers,
            ServerOrders orders,
            Consumer<FleetSnapshot> snapshots,
            LongSupplier nanoClock,
            InstantSource wallClock,
            RandomGenerator random) {
        this.nanoClock = nanoClock;
        this.wallClock = wallClock;
        this.core =
                new ControlCore(
                        settings,
                        incarnation,
                        store,
                        peers,
                        snapshots,
                        wallClock,
                        this::offerStoreEvent,
                        orders,
                        random);
        this.thread = Thread.ofPlatform().name("control").daemon().unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Queues a message from a peer. A message that finds the queue full is dropped and counted,
     * since peers repeat messages that must arrive.
     */
    public void peerReceived(HostId from, MessageKind kind, byte[] body) {
        offer(new ControlEvent.PeerMessage(from, kind, Payload.of(body)));
    }

    /** Announces that this host is about to stop, so that its peers no longer choose it. */
    public void drain() {
        if (!offer(new ControlEvent.DrainRequested())) {
            offerStoreEvent(new ControlEvent.DrainRequested());
        }
    }

    /**
     * Proposes a change of the settings. The future never completes exceptionally; it completes
     * with {@link ProposalResult.Refused} if the queue is full.
     */
    public CompletableFuture<ProposalResult> propose(ProposedChange change) {
        CompletableFuture<ProposalResult> answer = new CompletableFuture<>();
        if (!offer(new ControlEvent.ChangeProposed(change, answer))) {
            answer.complete(new ProposalResult.Refused("this host is overloaded"));
        }
        return answer;
    }

    /**
     * Queries every host of the membership view for the revision in force there; completes within
     * about a second. Fails with {@link IllegalStateException} if the queue is full.
     */
    public CompletableFuture<ControlStatus> status() {
        CompletableFuture<ControlStatus> answer = new CompletableFuture<>();
        return offerOrFail(new ControlEvent.StatusRequested(answer), answer);
    }

    /** Returns the settings document in force; empty if there is none yet. */
    public CompletableFuture<Optional<SettingsDocument>> document() {
        CompletableFuture<Optional<SettingsDocument>> answer = new CompletableFuture<>();
        return offerOrFail(new ControlEvent.DocumentRequested(answer), answer);
    }

    /**
     * Reports the result of a run on a backend server, for a request that this host accepted, as
     * evidence for rollouts. Dropped and counted if the queue is full.
     */
    public void observed(RouteId route, VersionId version, ServerId server, RunResult result) {
        offer(
                new ControlEvent.RolloutEventReceived(
                        new RolloutEvent.Observed(route, version, server, result)));
    }

    /** Records a new rollout. */
    public CompletableFuture<RolloutWriteResult> planRollout(RolloutRecord planned) {
        CompletableFuture<RolloutWriteResult> answer = new CompletableFuture<>();
        return offerOrFail(
                new ControlEvent.RolloutWriteRequested(
                        new RolloutWrite.Command.Plan(planned), answer),
                answer);
    }

    /** Rolls back a rollout that has no outcome yet. */
    public CompletableFuture<RolloutWriteResult> rollBack(
            RolloutId rollout, String author, String reason) {
        CompletableFuture<RolloutWriteResult> answer = new CompletableFuture<>();
        RolloutWrite.Command command =
                new RolloutWrite.Command.RollBack(rollout, author, reason, wallClock.millis());
        return offerOrFail(new ControlEvent.RolloutWriteRequested(command, answer), answer);
    }

    /** Returns the status of each rollout, as seen by this host. */
    public CompletableFuture<List<RolloutStatus>> rollouts() {
        CompletableFuture<List<RolloutStatus>> answer = new CompletableFuture<>();
        return offerOrFail(new ControlEvent.RolloutStatusRequested(answer), answer);
    }

    /**
     * Returns the rollout notices after a sequence number, as soon as there are any; an empty list
     * after {@code waitMillis}.
     *
     * @param after the sequence number of the last notice received; zero for none
     * @param waitMillis how long to wait, in milliseconds
     */
    public CompletableFuture<List<RolloutNotice>> notices(long after, long waitMillis) {
        CompletableFuture<List<RolloutNotice>> answer = new CompletableFuture<>();
        return offerOrFail(new ControlEvent.NoticesRequested(after, waitMillis, answer), answer);
    }

    private <T> CompletableFuture<T> offerOrFail(ControlEvent event, CompletableFuture<T> answer) {
        if (!offer(event)) {
            answer.completeExceptionally(new IllegalStateException("this host is overloaded"));
        }
        return answer;
    }

    /** Returns the number of events dropped because a queue was full or the duty was stopping. */
    public long droppedMessages() {
        return dropped.sum();
    }

    /** Stops the thread and completes pending requests; waits at most two seconds. */
    @Override
    public void close() {
        stopping = true;
        LockSupport.unpark(thread);
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean offer(ControlEvent event) {
        if (stopping || !events.offer(event)) {
            dropped.increment();
            return false;
        }
        unparkIfWaiting();
        return true;
    }

    /** Queues answers of the store, whose number the duty itself bounds, and events of watches. */
    private void offerStoreEvent(ControlEvent event) {
        if (!storeEvents.offer(event)) {
            logger.atSevere().log("event=control_queue_full");
            dropped.increment();
        }
        unparkIfWaiting();
    }

    private void unparkIfWaiting() {
        if (waiting.get() != 0) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        core.start(nanoClock.getAsLong());
        core.publish();
        long nextTickNanos = nanoClock.getAsLong() + TICK_NANOS;
        while (!stopping) {
            boolean busy = drainQueues();
            long now = nanoClock.getAsLong();
            if (now >= nextTickNanos) {
                runGuarded(() -> core.tick(nanoClock.getAsLong()));
                nextTickNanos = now + TICK_NANOS;
            }
            runGuarded(core::publish);
            if (!busy) {
                await(nextTickNanos - now);
            }
        }
        while (drainQueues()) {
            // Events queued before the stop are answered, too.
        }
        core.close();
    }

    private boolean drainQueues() {
        boolean busy = false;
        for (int i = 0; i < MAX_BATCH_EVENTS; i++) {
            ControlEvent event = storeEvents.poll();
            if (event == null) {
                event = events.poll();
            }
            if (event == null) {
                return busy;
            }
            busy = true;
            ControlEvent polled = event;
            runGuarded(() -> core.on(nanoClock.getAsLong(), polled));
        }
        return busy;
    }

    /** Logs a runtime exception, so that one faulty event does not end the thread. */
    private static void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=control_fault");
        }
    }

    private void await(long nanos) {
        waiting.set(1);
        if (events.isEmpty() && storeEvents.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, Math.max(1, nanos));
        }
        waiting.set(0);
    }
}

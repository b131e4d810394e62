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
 * The control duty of one entry host: one thread that keeps membership, settings, the platform's
 * lists and rollouts, and hands on a new {@link FleetSnapshot} whenever one of them changes. Serves
 * with the store away. All methods may be called from any thread and none blocks, but for {@link
 * #close}.
 */
public final class ControlDuty implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_SIZE = 8_192;
    private static final int STORE_RING_SIZE = 4_096;
    private static final int BATCH = 256;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long CLOSE_MILLIS = 2_000;

    private final MpscArrayQueue<ControlEvent> ring = new MpscArrayQueue<>(RING_SIZE);
    private final MpscArrayQueue<ControlEvent> storeRing = new MpscArrayQueue<>(STORE_RING_SIZE);
    private final LongAdder dropped = new LongAdder();
    private final AtomicInteger waiting = new AtomicInteger();
    private final LongSupplier nanoClock;
    private final InstantSource wallClock;
    private final ControlCore core;
    private final Thread thread;
    private volatile boolean stopping;

    /**
     * Makes the duty; {@link #start} sets it going.
     *
     * @param settings the host's own file
     * @param incarnation grows with each start of this host
     * @param store the platform's key-value service; not closed by the duty
     * @param peers sends to other entry hosts; told of their addresses
     * @param orders gives orders to backend servers
     * @param snapshots called on the duty's thread with each new fleet snapshot; must not block
     * @param nanoClock the monotonic clock, in nanoseconds
     * @param wallClock the wall clock, for the time of changes
     * @param random spreads load and chooses peers
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
                        this::offerStore,
                        orders,
                        random);
        this.thread = Thread.ofPlatform().name("control").daemon().unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Takes a message from a peer. Dropped, and counted, when the duty is far behind: peers repeat
     * what matters.
     */
    public void peerReceived(HostId from, MessageKind kind, byte[] body) {
        offer(new ControlEvent.PeerMessage(from, kind, Payload.of(body)));
    }

    /** Says that this host is about to stop: its peers take it out of their choices. */
    public void drain() {
        if (!offer(new ControlEvent.DrainRequested())) {
            offerStore(new ControlEvent.DrainRequested());
        }
    }

    /**
     * Proposes a change of the settings. The future never fails; when the duty is far behind it is
     * {@link ProposalResult.Refused}.
     */
    public CompletableFuture<ProposalResult> propose(ProposedChange change) {
        CompletableFuture<ProposalResult> answer = new CompletableFuture<>();
        if (!offer(new ControlEvent.ChangeProposed(change, answer))) {
            answer.complete(new ProposalResult.Refused("this host is overloaded"));
        }
        return answer;
    }

    /**
     * Asks every host of the view which revision it has in force; done within about a second. Fails
     * with {@link IllegalStateException} when the duty is far behind.
     */
    public CompletableFuture<ControlStatus> status() {
        CompletableFuture<ControlStatus> answer = new CompletableFuture<>();
        return ask(new ControlEvent.StatusWanted(answer), answer);
    }

    /** Returns the settings' document in force; empty when there is none yet. */
    public CompletableFuture<Optional<SettingsDocument>> document() {
        CompletableFuture<Optional<SettingsDocument>> answer = new CompletableFuture<>();
        return ask(new ControlEvent.DocumentWanted(answer), answer);
    }

    /**
     * Tells of a run that this host accepted and that ended on a backend server, as evidence for
     * rollouts. Dropped, and counted, when the duty is far behind.
     */
    public void observed(RouteId route, VersionId version, ServerId server, RunResult result) {
        offer(
                new ControlEvent.RolloutHappened(
                        new RolloutEvent.Observed(route, version, server, result)));
    }

    /** Records a new rollout. */
    public CompletableFuture<RolloutWriteResult> planRollout(RolloutRecord planned) {
        CompletableFuture<RolloutWriteResult> answer = new CompletableFuture<>();
        return ask(
                new ControlEvent.RolloutWanted(new RolloutWrite.Wish.Plan(planned), answer),
                answer);
    }

    /** Takes a rollout back that has no outcome yet. */
    public CompletableFuture<RolloutWriteResult> rollBack(
            RolloutId rollout, String author, String reason) {
        CompletableFuture<RolloutWriteResult> answer = new CompletableFuture<>();
        RolloutWrite.Wish wish =
                new RolloutWrite.Wish.RollBack(rollout, author, reason, wallClock.millis());
        return ask(new ControlEvent.RolloutWanted(wish, answer), answer);
    }

    /** Returns how this host sees each rollout. */
    public CompletableFuture<List<RolloutStatus>> rollouts() {
        CompletableFuture<List<RolloutStatus>> answer = new CompletableFuture<>();
        return ask(new ControlEvent.RolloutsWanted(answer), answer);
    }

    /**
     * Returns the notices of rollouts after a sequence number, once there are any or the time is
     * over.
     *
     * @param after the sequence number of the last notice seen; zero for none
     * @param waitMillis how long to wait, in milliseconds
     */
    public CompletableFuture<List<RolloutNotice>> notices(long after, long waitMillis) {
        CompletableFuture<List<RolloutNotice>> answer = new CompletableFuture<>();
        return ask(new ControlEvent.NoticesWanted(after, waitMillis, answer), answer);
    }

    private <T> CompletableFuture<T> ask(ControlEvent event, CompletableFuture<T> answer) {
        if (!offer(event)) {
            answer.completeExceptionally(new IllegalStateException("this host is overloaded"));
        }
        return answer;
    }

    /** Returns how many messages of peers were dropped because the ring was full. */
    public long droppedMessages() {
        return dropped.sum();
    }

    /** Stops the thread; open questions are answered. */
    @Override
    public void close() {
        stopping = true;
        LockSupport.unpark(thread);
        try {
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean offer(ControlEvent event) {
        if (stopping || !ring.offer(event)) {
            dropped.increment();
            return false;
        }
        wake();
        return true;
    }

    /** Takes the store's answers, whose number the duty itself bounds, and the words of watches. */
    private void offerStore(ControlEvent event) {
        if (!storeRing.offer(event)) {
            logger.atSevere().log("event=control_ring_full");
            dropped.increment();
        }
        wake();
    }

    private void wake() {
        if (waiting.get() != 0) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        core.start(nanoClock.getAsLong());
        core.publish();
        long nextTickNanos = nanoClock.getAsLong() + TICK_NANOS;
        while (!stopping) {
            boolean busy = drainRings();
            long now = nanoClock.getAsLong();
            if (now >= nextTickNanos) {
                guarded(() -> core.tick(nanoClock.getAsLong()));
                nextTickNanos = now + TICK_NANOS;
            }
            guarded(core::publish);
            if (!busy) {
                await(nextTickNanos - now);
            }
        }
        while (drainRings()) {
            // What was taken in before the stop needs its answer, too.
        }
        core.close();
    }

    private boolean drainRings() {
        boolean busy = false;
        for (int i = 0; i < BATCH; i++) {
            ControlEvent event = storeRing.poll();
            if (event == null) {
                event = ring.poll();
            }
            if (event == null) {
                return busy;
            }
            busy = true;
            ControlEvent taken = event;
            guarded(() -> core.on(nanoClock.getAsLong(), taken));
        }
        return busy;
    }

    /** A fault in one event must not end the thread that all others need. */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=control_fault");
        }
    }

    private void await(long nanos) {
        waiting.set(1);
        if (ring.isEmpty() && storeRing.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, Math.max(1, nanos));
        }
        waiting.set(0);
    }
}

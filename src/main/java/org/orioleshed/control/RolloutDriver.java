package org.orioleshed.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.ServerId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.rollout.RolloutAction;
import org.orioleshed.rollout.RolloutCodec;
import org.orioleshed.rollout.RolloutCore;
import org.orioleshed.rollout.RolloutEvent;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RolloutStatus;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * Executes the actions of {@link RolloutCore} and the rollout writes of operators. Confined to one
 * thread.
 */
final class RolloutDriver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long WRITE_TIMEOUT_NANOS = 10_000_000_000L;
    private static final int MAX_WRITES = 16;

    private record Write(RolloutWrite stateMachine, CompletableFuture<RolloutWriteResult> answer) {}

    private final Store store;
    private final PeerPort peers;
    private final ServerOrders orders;
    private final Consumer<ControlEvent> eventSink;
    private final RolloutCodec codec = new RolloutCodec();
    private final RolloutNotices notices = new RolloutNotices();
    private final Map<Long, Write> writes = new HashMap<>();
    private RolloutCore core;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private long lastWrite;
    private boolean splitChanged;
    private RolloutAction.SplitChanged split =
            new RolloutAction.SplitChanged(Map.of(), Map.of(), Set.of());

    RolloutDriver(
            Store store, PeerPort peers, ServerOrders orders, Consumer<ControlEvent> eventSink) {
        this.store = store;
        this.peers = peers;
        this.orders = orders;
        this.eventSink = eventSink;
    }

    /** Creates the rollout core once its limits are available; later calls have no effect. */
    void begin(Supplier<RolloutCore> factory) {
        if (core == null) {
            core = factory.get();
        }
    }

    /** Returns the traffic split in force. */
    RolloutAction.SplitChanged split() {
        return split;
    }

    /** Returns whether the traffic split changed since the previous call. */
    boolean pollSplitChanged() {
        boolean changed = splitChanged;
        splitChanged = false;
        return changed;
    }

    List<RolloutStatus> status(long nowNanos) {
        return core == null ? List.of() : core.status(nowNanos);
    }

    void tick(long nowNanos, long epochMillis) {
        on(nowNanos, new RolloutEvent.Tick(epochMillis));
        List<Long> open = new ArrayList<>(writes.keySet());
        open.forEach(write -> onWrite(nowNanos, write, new RolloutWrite.Event.Tick()));
        notices.tick(nowNanos);
    }

    void fleetChanged(long nowNanos, FleetSnapshot changed) {
        fleet = changed;
        on(nowNanos, new RolloutEvent.FleetChanged(changed));
    }

    void receive(long nowNanos, HostId from, byte[] body) throws BadMessageException {
        on(nowNanos, new RolloutEvent.PeerReceived(from, codec.decode(body)));
    }

    void await(long after, long deadlineNanos, CompletableFuture<List<RolloutNotice>> answer) {
        notices.await(after, deadlineNanos, answer);
    }

    void start(
            long nowNanos,
            RolloutWrite.Command command,
            CompletableFuture<RolloutWriteResult> answer) {
        if (writes.size() >= MAX_WRITES) {
            answer.complete(
                    new RolloutWriteResult.StoreUnavailable(
                            "too many writes at once on this host"));
            return;
        }
        RolloutWrite stateMachine = new RolloutWrite(command, nowNanos + WRITE_TIMEOUT_NANOS);
        writes.put(++lastWrite, new Write(stateMachine, answer));
        onWrite(nowNanos, lastWrite, new RolloutWrite.Event.Tick());
    }

    void onWrite(long nowNanos, long number, RolloutWrite.Event event) {
        Write write = writes.get(number);
        if (write == null) {
            return;
        }
        String key = RolloutRecord.key(write.stateMachine().rollout());
        for (RolloutWrite.Action action : write.stateMachine().on(nowNanos, event)) {
            switch (action) {
                case RolloutWrite.Action.Read read ->
                        forwardWriteAnswer(number, store.get(key, STORE_TIMEOUT_MILLIS));
                case RolloutWrite.Action.Swap swap ->
                        forwardWriteAnswer(
                                number,
                                store.swap(
                                        key,
                                        StoreRevision.of(swap.expectedRevision()),
                                        swap.record().toPayload(),
                                        0,
                                        STORE_TIMEOUT_MILLIS));
                case RolloutWrite.Action.Settled settled -> settle(nowNanos, number, settled);
            }
        }
    }

    void close() {
        for (Write write : writes.values()) {
            write.answer().complete(new RolloutWriteResult.InDoubt("the host is stopping"));
        }
        writes.clear();
        notices.tick(Long.MAX_VALUE);
    }

    void on(long nowNanos, RolloutEvent event) {
        if (core == null) {
            return;
        }
        for (RolloutAction action : core.on(nowNanos, event)) {
            switch (action) {
                case RolloutAction.SwapRecord swap -> swap(swap);
                case RolloutAction.ReadRecord read -> readRecord(read.rollout());
                case RolloutAction.ListRecords list -> listRecords();
                case RolloutAction.GrantLease grant ->
                        lease(
                                grant.ticket(),
                                store.grantLease(grant.ttlMillis(), STORE_TIMEOUT_MILLIS));
                case RolloutAction.KeepLease keep ->
                        lease(keep.ticket(), store.keepAlive(keep.leaseId(), STORE_TIMEOUT_MILLIS));
                case RolloutAction.SendMessage send ->
                        peers.send(send.to(), MessageKind.MOVE, codec.encode(send.message()));
                case RolloutAction.SplitChanged changed -> {
                    split = changed;
                    splitChanged = true;
                }
                case RolloutAction.Notice notice -> publishNotice(notice);
                case RolloutAction.Order order -> order(order);
                case RolloutAction.ReadState state -> readState(state.server());
            }
        }
    }

    private void publishNotice(RolloutAction.Notice notice) {
        notices.add(notice);
        logger.atInfo().log(
                "event=move_notice move=%s kind=%s detail=%s",
                notice.rollout(), notice.kind(), notice.detail());
    }

    private void settle(long nowNanos, long number, RolloutWrite.Action.Settled settled) {
        Write write = writes.remove(number);
        if (settled.result() instanceof RolloutWriteResult.Written written
                && settled.revision() > 0) {
            Optional<Payload> value = Optional.of(written.record().toPayload());
            on(
                    nowNanos,
                    new RolloutEvent.RecordRead(written.record().id(), value, settled.revision()));
        }
        write.answer().complete(settled.result());
    }

    private void forwardWriteAnswer(long number, CompletableFuture<Store.Result> call) {
        var unused =
                call.thenAccept(
                        result ->
                                eventSink.accept(
                                        new ControlEvent.RolloutWriteAnswered(number, result)));
    }

    private void forwardEvent(CompletableFuture<? extends RolloutEvent> call) {
        var unused =
                call.thenAccept(
                        event -> {
                            if (event != null) {
                                eventSink.accept(new ControlEvent.RolloutEventReceived(event));
                            }
                        });
    }

    private void swap(RolloutAction.SwapRecord swap) {
        forwardEvent(
                store.swap(
                                swap.key(),
                                StoreRevision.of(swap.expectedRevision()),
                                swap.value(),
                                swap.leaseId(),
                                swap.timeoutMillis())
                        .thenApply(
                                result ->
                                        new RolloutEvent.SwapResult(
                                                swap.ticket(), swapAnswer(result))));
    }

    private static RolloutEvent.SwapAnswer swapAnswer(Store.Result result) {
        return switch (result) {
            case Store.Result.Swapped swapped ->
                    new RolloutEvent.SwapAnswer.Swapped(swapped.revision().number());
            case Store.Result.Conflict conflict ->
                    new RolloutEvent.SwapAnswer.Conflict(
                            conflict.present().map(Store.Entry::value),
                            conflict.present().map(it -> it.revision().number()).orElse(0L));
            case Store.Result.Unavailable unavailable ->
                    new RolloutEvent.SwapAnswer.Unavailable(unavailable.detail());
            case Store.Result.Unknown unknown ->
                    new RolloutEvent.SwapAnswer.Unknown(unknown.detail());
            case Store.Result.Entries entries ->
                    new RolloutEvent.SwapAnswer.Unknown(
                            "unexpected answer to a compare-and-swap: entries");
            case Store.Result.Lease lease ->
                    new RolloutEvent.SwapAnswer.Unknown(
                            "unexpected answer to a compare-and-swap: lease");
        };
    }

    private void lease(long ticket, CompletableFuture<Store.Result> call) {
        forwardEvent(
                call.thenApply(
                        result -> new RolloutEvent.LeaseResult(ticket, leaseAnswer(result))));
    }

    private static RolloutEvent.LeaseAnswer leaseAnswer(Store.Result result) {
        if (result instanceof Store.Result.Lease lease) {
            return lease.ttlMillis() > 0
                    ? new RolloutEvent.LeaseAnswer.Held(lease.leaseId(), lease.ttlMillis())
                    : new RolloutEvent.LeaseAnswer.Lost("the lease expired");
        }
        return new RolloutEvent.LeaseAnswer.Unavailable(result.toString());
    }

    private void readRecord(RolloutId rollout) {
        forwardEvent(
                store.get(RolloutRecord.key(rollout), STORE_TIMEOUT_MILLIS)
                        .thenApply(result -> recordRead(rollout, result)));
    }

    private static RolloutEvent recordRead(RolloutId rollout, Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            return null;
        }
        Optional<Store.Entry> entry = entries.entries().stream().findFirst();
        return new RolloutEvent.RecordRead(
                rollout,
                entry.map(Store.Entry::value),
                entry.map(it -> it.revision().number()).orElse(0L));
    }

    private void listRecords() {
        forwardEvent(
                store.list(RolloutRecord.KEY_PREFIX, STORE_TIMEOUT_MILLIS)
                        .thenApply(RolloutDriver::recordsListed));
    }

    private static RolloutEvent recordsListed(Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            return null;
        }
        List<RolloutEvent.RecordRead> records = new ArrayList<>();
        for (Store.Entry entry : entries.entries()) {
            String id = entry.key().substring(RolloutRecord.KEY_PREFIX.length());
            if (!id.isBlank()) {
                records.add(
                        new RolloutEvent.RecordRead(
                                new RolloutId(id),
                                Optional.of(entry.value()),
                                entry.revision().number()));
            }
        }
        return new RolloutEvent.RecordsListed(records);
    }

    private void order(RolloutAction.Order order) {
        BackendServer server = fleet.servers().get(order.server());
        if (server == null) {
            return;
        }
        forwardEvent(
                orders.order(server, order.order(), order.fence())
                        .thenApply(
                                accepted ->
                                        new RolloutEvent.OrderAnswered(
                                                order.server(), order.fence(), accepted)));
    }

    private void readState(ServerId id) {
        BackendServer server = fleet.servers().get(id);
        if (server == null) {
            return;
        }
        forwardEvent(
                orders.version(server)
                        .thenApply(version -> new RolloutEvent.StateRead(id, version)));
    }
}

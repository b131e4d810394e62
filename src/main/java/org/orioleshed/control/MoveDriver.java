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
import org.orioleshed.fleet.World;
import org.orioleshed.model.HostId;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.move.MoveAction;
import org.orioleshed.move.MoveCodec;
import org.orioleshed.move.MoveCore;
import org.orioleshed.move.MoveEvent;
import org.orioleshed.move.MoveRecord;
import org.orioleshed.move.MoveStatus;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.store.Store;

/** Carries out what {@link MoveCore} and operators want of moves; used by one thread alone. */
final class MoveDriver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long WRITE_NANOS = 10_000_000_000L;
    private static final int MAX_WRITES = 16;

    private record Write(MoveWrite machine, CompletableFuture<MoveWriteResult> answer) {}

    private final Store store;
    private final PeerPort peers;
    private final ServerOrders orders;
    private final Consumer<ControlEvent> ring;
    private final MoveCodec codec = new MoveCodec();
    private final MoveNotices notices = new MoveNotices();
    private final Map<Long, Write> writes = new HashMap<>();
    private MoveCore core;
    private World world = World.EMPTY;
    private long lastWrite;
    private boolean splitChanged;
    private MoveAction.SplitChanged split =
            new MoveAction.SplitChanged(Map.of(), Map.of(), Set.of());

    MoveDriver(Store store, PeerPort peers, ServerOrders orders, Consumer<ControlEvent> ring) {
        this.store = store;
        this.peers = peers;
        this.orders = orders;
        this.ring = ring;
    }

    /** Sets moves going, once their limits are known; later calls change nothing. */
    void begin(Supplier<MoveCore> maker) {
        if (core == null) {
            core = maker.get();
        }
    }

    /** Returns how traffic divides now. */
    MoveAction.SplitChanged split() {
        return split;
    }

    /** Returns whether the division changed since the last time this was asked. */
    boolean takeSplitChanged() {
        boolean changed = splitChanged;
        splitChanged = false;
        return changed;
    }

    List<MoveStatus> status(long nowNanos) {
        return core == null ? List.of() : core.status(nowNanos);
    }

    void tick(long nowNanos, long epochMillis) {
        on(nowNanos, new MoveEvent.Tick(epochMillis));
        List<Long> open = new ArrayList<>(writes.keySet());
        open.forEach(write -> onWrite(nowNanos, write, new MoveWrite.Event.Tick()));
        notices.tick(nowNanos);
    }

    void worldChanged(long nowNanos, World changed) {
        world = changed;
        on(nowNanos, new MoveEvent.WorldChanged(changed));
    }

    void receive(long nowNanos, HostId from, byte[] body) throws BadMessageException {
        on(nowNanos, new MoveEvent.PeerReceived(from, codec.decode(body)));
    }

    void await(long after, long deadlineNanos, CompletableFuture<List<MoveNotice>> answer) {
        notices.await(after, deadlineNanos, answer);
    }

    void start(long nowNanos, MoveWrite.Wish wish, CompletableFuture<MoveWriteResult> answer) {
        if (writes.size() >= MAX_WRITES) {
            answer.complete(new MoveWriteResult.StoreAway("too many writes at once on this host"));
            return;
        }
        MoveWrite machine = new MoveWrite(wish, nowNanos + WRITE_NANOS);
        writes.put(++lastWrite, new Write(machine, answer));
        onWrite(nowNanos, lastWrite, new MoveWrite.Event.Tick());
    }

    void onWrite(long nowNanos, long number, MoveWrite.Event event) {
        Write write = writes.get(number);
        if (write == null) {
            return;
        }
        String key = MoveRecord.key(write.machine().move());
        for (MoveWrite.Action action : write.machine().on(nowNanos, event)) {
            switch (action) {
                case MoveWrite.Action.Read read ->
                        answerWrite(number, store.get(key, STORE_TIMEOUT_MILLIS));
                case MoveWrite.Action.Swap swap ->
                        answerWrite(
                                number,
                                store.swap(
                                        key,
                                        swap.expectedRevision(),
                                        swap.record().toPayload(),
                                        0,
                                        STORE_TIMEOUT_MILLIS));
                case MoveWrite.Action.Settled settled -> settle(nowNanos, number, settled);
            }
        }
    }

    void close() {
        for (Write write : writes.values()) {
            write.answer().complete(new MoveWriteResult.InDoubt("the host is stopping"));
        }
        writes.clear();
        notices.tick(Long.MAX_VALUE);
    }

    void on(long nowNanos, MoveEvent event) {
        if (core == null) {
            return;
        }
        for (MoveAction action : core.on(nowNanos, event)) {
            switch (action) {
                case MoveAction.SwapRecord swap -> swap(swap);
                case MoveAction.ReadRecord read -> read(read.move());
                case MoveAction.ListRecords list -> list();
                case MoveAction.GrantLease grant ->
                        lease(
                                grant.ticket(),
                                store.grantLease(grant.ttlMillis(), STORE_TIMEOUT_MILLIS));
                case MoveAction.KeepLease keep ->
                        lease(keep.ticket(), store.keepAlive(keep.leaseId(), STORE_TIMEOUT_MILLIS));
                case MoveAction.SendMove send ->
                        peers.send(send.to(), MessageKind.MOVE, codec.encode(send.message()));
                case MoveAction.SplitChanged changed -> {
                    split = changed;
                    splitChanged = true;
                }
                case MoveAction.Notice notice -> tell(notice);
                case MoveAction.Order order -> order(order);
                case MoveAction.ReadState state -> readState(state.server());
            }
        }
    }

    private void tell(MoveAction.Notice notice) {
        notices.add(notice);
        logger.atInfo().log(
                "event=move_notice move=%s kind=%s detail=%s",
                notice.move(), notice.kind(), notice.detail());
    }

    private void settle(long nowNanos, long number, MoveWrite.Action.Settled settled) {
        Write write = writes.remove(number);
        if (settled.result() instanceof MoveWriteResult.Written written && settled.revision() > 0) {
            Optional<Payload> value = Optional.of(written.record().toPayload());
            on(
                    nowNanos,
                    new MoveEvent.RecordRead(written.record().id(), value, settled.revision()));
        }
        write.answer().complete(settled.result());
    }

    private void answerWrite(long number, CompletableFuture<Store.Result> call) {
        var unused =
                call.thenAccept(
                        result -> ring.accept(new ControlEvent.MoveWriteAnswered(number, result)));
    }

    private void answer(CompletableFuture<? extends MoveEvent> call) {
        var unused =
                call.thenAccept(
                        event -> {
                            if (event != null) {
                                ring.accept(new ControlEvent.MoveHappened(event));
                            }
                        });
    }

    private void swap(MoveAction.SwapRecord swap) {
        answer(
                store.swap(
                                swap.key(),
                                swap.expectedRevision(),
                                swap.value(),
                                swap.leaseId(),
                                swap.timeoutMillis())
                        .thenApply(
                                result ->
                                        new MoveEvent.SwapResult(
                                                swap.ticket(), swapAnswer(result))));
    }

    private static MoveEvent.SwapAnswer swapAnswer(Store.Result result) {
        return switch (result) {
            case Store.Result.Swapped swapped ->
                    new MoveEvent.SwapAnswer.Swapped(swapped.revision());
            case Store.Result.Conflict conflict ->
                    new MoveEvent.SwapAnswer.Conflict(
                            conflict.present().map(Store.Entry::value),
                            conflict.present().map(Store.Entry::revision).orElse(0L));
            case Store.Result.Unavailable away -> new MoveEvent.SwapAnswer.Away(away.detail());
            case Store.Result.Unknown unknown -> new MoveEvent.SwapAnswer.Unknown(unknown.detail());
            case Store.Result.Entries entries -> new MoveEvent.SwapAnswer.Unknown("entries");
            case Store.Result.Lease lease -> new MoveEvent.SwapAnswer.Unknown("a lease");
        };
    }

    private void lease(long ticket, CompletableFuture<Store.Result> call) {
        answer(call.thenApply(result -> new MoveEvent.LeaseResult(ticket, leaseAnswer(result))));
    }

    private static MoveEvent.LeaseAnswer leaseAnswer(Store.Result result) {
        if (result instanceof Store.Result.Lease lease) {
            return lease.ttlMillis() > 0
                    ? new MoveEvent.LeaseAnswer.Held(lease.leaseId(), lease.ttlMillis())
                    : new MoveEvent.LeaseAnswer.Lost("the lease ran out");
        }
        return new MoveEvent.LeaseAnswer.Away(result.toString());
    }

    private void read(MoveId move) {
        answer(
                store.get(MoveRecord.key(move), STORE_TIMEOUT_MILLIS)
                        .thenApply(result -> recordRead(move, result)));
    }

    private static MoveEvent recordRead(MoveId move, Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            return null;
        }
        Optional<Store.Entry> entry = entries.entries().stream().findFirst();
        return new MoveEvent.RecordRead(
                move, entry.map(Store.Entry::value), entry.map(Store.Entry::revision).orElse(0L));
    }

    private void list() {
        answer(
                store.list(MoveRecord.KEY_PREFIX, STORE_TIMEOUT_MILLIS)
                        .thenApply(MoveDriver::recordsListed));
    }

    private static MoveEvent recordsListed(Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            return null;
        }
        List<MoveEvent.RecordRead> records = new ArrayList<>();
        for (Store.Entry entry : entries.entries()) {
            String id = entry.key().substring(MoveRecord.KEY_PREFIX.length());
            if (!id.isBlank()) {
                records.add(
                        new MoveEvent.RecordRead(
                                new MoveId(id), Optional.of(entry.value()), entry.revision()));
            }
        }
        return new MoveEvent.RecordsListed(records);
    }

    private void order(MoveAction.Order order) {
        BackendServer server = world.servers().get(order.server());
        if (server == null) {
            return;
        }
        answer(
                orders.order(server, order.order(), order.fence())
                        .thenApply(
                                taken ->
                                        new MoveEvent.OrderAnswered(
                                                order.server(), order.fence(), taken)));
    }

    private void readState(ServerId id) {
        BackendServer server = world.servers().get(id);
        if (server == null) {
            return;
        }
        answer(orders.version(server).thenApply(version -> new MoveEvent.StateRead(id, version)));
    }
}

package org.orioleshed.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.orioleshed.backend.Backends;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.routing.RunEnd;
import org.orioleshed.store.Store;

/**
 * Carries the decisions' actions out: to callers, backend servers, peers and the store. Never
 * blocks.
 */
final class HostActions {
    private static final long READ_TIMEOUT_MILLIS = 1_000;

    private final Map<RequestId, CallerExchange> callers = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<RequestStatus>> statuses = new ConcurrentHashMap<>();
    private final AtomicLong tickets = new AtomicLong();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final Store store;
    private final PeerMessages peers;
    private Backends backends;
    private Consumer<HostEvent> events;
    private volatile Consumer<HostAction.RecordResult> observer = observed -> {};
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;

    HostActions(EntryMetrics metrics, DecisionLog log, Store store, PeerMessages peers) {
        this.metrics = metrics;
        this.log = log;
        this.store = store;
        this.peers = peers;
    }

    /**
     * Joins the other half, which needs this one first. To be called once, before the decisions
     * run.
     */
    void connect(Backends newBackends, Consumer<HostEvent> newEvents) {
        backends = newBackends;
        events = newEvents;
    }

    /** Takes the one who hears of evidence about versions. */
    void observer(Consumer<HostAction.RecordResult> newObserver) {
        observer = newObserver;
    }

    /** Takes the fleet snapshot in which servers are looked up. */
    void fleet(FleetSnapshot newFleet) {
        fleet = newFleet;
    }

    FleetSnapshot fleet() {
        return fleet;
    }

    /** Registers the thread that serves a caller. */
    void open(CallerExchange exchange) {
        callers.put(exchange.request().id(), exchange);
    }

    /** Forgets a caller. */
    void forget(RequestId request) {
        callers.remove(request);
    }

    /** Returns the requests whose callers wait on this host. */
    List<Request> openRequests() {
        return callers.values().stream().map(CallerExchange::request).toList();
    }

    int openCallers() {
        return callers.size();
    }

    /** Asks the decisions for the request status of a key. */
    CompletableFuture<RequestStatus> requestStatus(RequestKey key) {
        long ticket = tickets.incrementAndGet();
        CompletableFuture<RequestStatus> future = new CompletableFuture<>();
        statuses.put(ticket, future);
        events.accept(new HostEvent.StatusRequested(ticket, key));
        return future.whenComplete((requestStatus, error) -> statuses.remove(ticket));
    }

    /** Returns the latch that opens when a drain is over. */
    CountDownLatch drained() {
        return drained;
    }

    /** Carries out one action. */
    void perform(HostAction action) {
        switch (action) {
            case HostAction.WriteTokens tokens ->
                    caller(tokens.request())
                            .ifPresent(exchange -> exchange.add(tokens, System.nanoTime()));
            case HostAction.Answer answer ->
                    caller(answer.request())
                            .ifPresent(
                                    exchange -> exchange.end(answer.outcome(), System.nanoTime()));
            case HostAction.ReplyStatus told -> tell(told);
            case HostAction.SendRouting send -> peers.send(send.to(), send.message());
            case HostAction.SendRequest send -> peers.send(send.to(), send.message());
            case HostAction.StartRun start -> start(start);
            case HostAction.CancelRun cancel -> cancel(cancel);
            case HostAction.PauseRun pause -> backends.pause(pause.run(), pause.paused());
            case HostAction.CallService call -> call(call);
            case HostAction.ReadStore read ->
                    store.get(read.key(), READ_TIMEOUT_MILLIS)
                            .thenAccept(result -> answer(read.ticket(), result));
            case HostAction.CompareAndSwap swap ->
                    store.swap(
                                    swap.key(),
                                    swap.expectedRevision(),
                                    swap.value(),
                                    0,
                                    swap.timeoutMillis())
                            .thenAccept(result -> answer(swap.ticket(), result));
            case HostAction.RecordResult observed -> observer.accept(observed);
            case HostAction.Log line -> {
                metrics.decided(line.decision());
                log.add(line.decision());
            }
            case HostAction.Drained done -> drained.countDown();
        }
    }

    private Optional<CallerExchange> caller(RequestId request) {
        return Optional.ofNullable(callers.get(request));
    }

    private void tell(HostAction.ReplyStatus told) {
        CompletableFuture<RequestStatus> future = statuses.get(told.ticket());
        if (future != null) {
            future.complete(told.status());
        }
    }

    private void start(HostAction.StartRun start) {
        BackendServer server = fleet.servers().get(start.server());
        if (server == null) {
            unknownServer(start.run(), start.server());
            return;
        }
        backends.start(start.run(), server, start.body(), start.resumeFromToken());
    }

    private void cancel(HostAction.CancelRun cancel) {
        BackendServer server = fleet.servers().get(cancel.server());
        if (server == null) {
            unknownServer(cancel.run(), cancel.server());
            return;
        }
        backends.cancel(cancel.run(), server);
    }

    private void unknownServer(RunId run, ServerId server) {
        events.accept(new HostEvent.RunEnded(run, server, new RunEnd.Broken(false, false)));
    }

    private void call(HostAction.CallService call) {
        BackendServer server = fleet.servers().get(call.server());
        if (server == null) {
            events.accept(
                    new HostEvent.CallEnded(
                            call.run(),
                            call.server(),
                            new HostEvent.CallEnd.NeverSent("server is not in the settings")));
            return;
        }
        String key =
                caller(call.run().request())
                        .map(exchange -> exchange.request().key().toString())
                        .orElse(call.run().toString());
        backends.call(call.run(), server, call.call(), key, call.body(), call.timeoutMillis());
    }

    private void answer(long ticket, Store.Result result) {
        events.accept(new HostEvent.StoreAnswered(ticket, translate(result)));
    }

    private static StoreAnswer translate(Store.Result result) {
        return switch (result) {
            case Store.Result.Entries entries -> value(entries.entries().stream().findFirst());
            case Store.Result.Swapped swapped -> new StoreAnswer.Swapped(swapped.revision());
            case Store.Result.Conflict conflict -> conflict(conflict.present());
            case Store.Result.Lease lease -> new StoreAnswer.Unknown("unexpected answer");
            case Store.Result.Unknown unknown -> new StoreAnswer.Unknown(unknown.detail());
            case Store.Result.Unavailable unavailable ->
                    new StoreAnswer.Unavailable(unavailable.detail());
        };
    }

    private static StoreAnswer value(Optional<Store.Entry> entry) {
        Optional<Payload> value = entry.map(Store.Entry::value);
        return new StoreAnswer.Value(value, entry.map(Store.Entry::revision).orElse(0L));
    }

    private static StoreAnswer conflict(Optional<Store.Entry> entry) {
        Optional<Payload> value = entry.map(Store.Entry::value);
        return new StoreAnswer.Conflict(value, entry.map(Store.Entry::revision).orElse(0L));
    }
}

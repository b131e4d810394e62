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
import org.orioleshed.store.StoreRevision;

/**
 * Executes the actions of the event loop on callers, backend servers, peers and the store. Never
 * blocks.
 */
final class ActionExecutor {
    private static final long STORE_READ_TIMEOUT_MILLIS = 1_000;

    private final Map<RequestId, CallerExchange> callers = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<RequestStatus>> statuses = new ConcurrentHashMap<>();
    private final AtomicLong tickets = new AtomicLong();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final Store store;
    private final PeerSender peers;
    private Backends backends;
    private Consumer<HostEvent> events;
    private volatile Consumer<HostAction.RecordResult> observer = observed -> {};
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;

    ActionExecutor(EntryMetrics metrics, DecisionLog log, Store store, PeerSender peers) {
        this.metrics = metrics;
        this.log = log;
        this.store = store;
        this.peers = peers;
    }

    /**
     * Sets the collaborators that are constructed after this object. Must be called once, before
     * the event loop starts.
     */
    void connect(Backends newBackends, Consumer<HostEvent> newEvents) {
        backends = newBackends;
        events = newEvents;
    }

    /** Sets the consumer of run results, which are evidence about versions in a rollout. */
    void observer(Consumer<HostAction.RecordResult> newObserver) {
        observer = newObserver;
    }

    /** Sets the fleet snapshot in which servers are looked up. */
    void fleet(FleetSnapshot newFleet) {
        fleet = newFleet;
    }

    FleetSnapshot fleet() {
        return fleet;
    }

    /** Registers the exchange of a caller. */
    void register(CallerExchange exchange) {
        callers.put(exchange.request().id(), exchange);
    }

    /** Removes the exchange of a caller. */
    void unregister(RequestId request) {
        callers.remove(request);
    }

    /** Returns the requests of callers that are open on this host. */
    List<Request> openRequests() {
        return callers.values().stream().map(CallerExchange::request).toList();
    }

    int openCallers() {
        return callers.size();
    }

    /** Requests the status of a request key from the event loop. */
    CompletableFuture<RequestStatus> requestStatus(RequestKey key) {
        long ticket = tickets.incrementAndGet();
        CompletableFuture<RequestStatus> future = new CompletableFuture<>();
        statuses.put(ticket, future);
        events.accept(new HostEvent.StatusRequested(ticket, key));
        return future.whenComplete((requestStatus, error) -> statuses.remove(ticket));
    }

    /** Returns the latch that is released when a drain has finished. */
    CountDownLatch drained() {
        return drained;
    }

    /** Executes one action. */
    void perform(HostAction action) {
        switch (action) {
            case HostAction.WriteTokens tokens ->
                    caller(tokens.request())
                            .ifPresent(exchange -> exchange.add(tokens, System.nanoTime()));
            case HostAction.Answer answer ->
                    caller(answer.request())
                            .ifPresent(
                                    exchange -> exchange.end(answer.outcome(), System.nanoTime()));
            case HostAction.ReplyStatus reply -> completeStatus(reply);
            case HostAction.SendRouting send -> peers.send(send.to(), send.message());
            case HostAction.SendRequest send -> peers.send(send.to(), send.message());
            case HostAction.StartRun start -> start(start);
            case HostAction.CancelRun cancel -> cancel(cancel);
            case HostAction.PauseRun pause -> backends.pause(pause.run(), pause.paused());
            case HostAction.CallService call -> call(call);
            case HostAction.ReadStore read ->
                    store.get(read.key(), STORE_READ_TIMEOUT_MILLIS)
                            .thenAccept(result -> answer(read.ticket(), result));
            case HostAction.CompareAndSwap swap ->
                    store.swap(
                                    swap.key(),
                                    StoreRevision.of(swap.expectedRevision()),
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

    private void completeStatus(HostAction.ReplyStatus reply) {
        CompletableFuture<RequestStatus> future = statuses.get(reply.ticket());
        if (future != null) {
            future.complete(reply.status());
        }
    }

    private void start(HostAction.StartRun start) {
        BackendServer server = fleet.servers().get(start.server());
        if (server == null) {
            endUnknownServerRun(start.run(), start.server());
            return;
        }
        backends.start(start.run(), server, start.body(), start.resumeFromToken());
    }

    private void cancel(HostAction.CancelRun cancel) {
        BackendServer server = fleet.servers().get(cancel.server());
        if (server == null) {
            endUnknownServerRun(cancel.run(), cancel.server());
            return;
        }
        backends.cancel(cancel.run(), server);
    }

    private void endUnknownServerRun(RunId run, ServerId server) {
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
        events.accept(new HostEvent.StoreAnswered(ticket, toStoreAnswer(result)));
    }

    private static StoreAnswer toStoreAnswer(Store.Result result) {
        return switch (result) {
            case Store.Result.Entries entries ->
                    valueAnswer(entries.entries().stream().findFirst());
            case Store.Result.Swapped swapped ->
                    new StoreAnswer.Swapped(swapped.revision().number());
            case Store.Result.Conflict conflict -> conflictAnswer(conflict.present());
            case Store.Result.Lease lease -> new StoreAnswer.Unknown("unexpected answer");
            case Store.Result.Unknown unknown -> new StoreAnswer.Unknown(unknown.detail());
            case Store.Result.Unavailable unavailable ->
                    new StoreAnswer.Unavailable(unavailable.detail());
        };
    }

    private static StoreAnswer valueAnswer(Optional<Store.Entry> entry) {
        Optional<Payload> value = entry.map(Store.Entry::value);
        return new StoreAnswer.Value(value, entry.map(it -> it.revision().number()).orElse(0L));
    }

    private static StoreAnswer conflictAnswer(Optional<Store.Entry> entry) {
        Optional<Payload> value = entry.map(Store.Entry::value);
        return new StoreAnswer.Conflict(value, entry.map(it -> it.revision().number()).orElse(0L));
    }
}

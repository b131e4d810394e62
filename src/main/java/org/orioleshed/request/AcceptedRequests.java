package org.orioleshed.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Outcome.FailReason;
import org.orioleshed.model.Outcome.NotRunReason;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.request.RequestMessage.Piece;
import org.orioleshed.routing.RoutingMessage;

/**
 * The accepting side of an entry host: every request that its callers sent, from the door to the
 * one final outcome. Owned by one thread.
 */
public final class AcceptedRequests implements Claims.Listener {
    /** The share of the host's room that each tier below the first leaves to those above. */
    private static final double RESERVE_PER_RANK = 0.15;

    private final RequestLimits limits;
    private final Consumer<HostAction> out;
    private final PoisonWatch poison;
    private final Results results;

    /** How many hosts keep each key's entry in the directory. */
    private static final int DIRECTORY_HOSTS = 2;

    private final ModelRequests models;
    private final ServiceRequests services;
    private final HostId self;
    private final KeyDirectory directory;
    private final StatusInquiries inquiries;
    private final Map<RequestKey, KeyedRequest> byKey = new HashMap<>();
    private final Map<WorkspaceId, Integer> perWorkspace = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private boolean draining;

    /**
     * Makes the accepting side of a host that holds nothing yet.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation the host's incarnation, which grows with each start
     * @param limits the bounds to keep to
     * @param random for draws of versions and jitter
     * @param placement where model requests may be offered
     * @param claims the claims of non-repeatable calls
     * @param out takes the actions, in order
     */
    public AcceptedRequests(
            HostId self,
            FailureDomain domain,
            long incarnation,
            RequestLimits limits,
            RandomGenerator random,
            Placement placement,
            Claims claims,
            Consumer<HostAction> out) {
        this.self = self;
        this.limits = limits;
        this.out = out;
        this.directory = new KeyDirectory(limits.resultMillis());
        this.inquiries = new StatusInquiries(claims, out);
        this.poison =
                new PoisonWatch(
                        self, new Poison(limits.poisonMillis(), limits.poisonEntries()), out);
        this.results = new Results(limits.resultMillis(), limits.resultBytes());
        this.models = new ModelRequests(limits, random, placement, poison, out, this::modelClosed);
        this.services =
                new ServiceRequests(
                        self, domain, incarnation, limits, random, claims, out, this::callClosed);
    }

    /** Takes an event that concerns accepted requests; others are ignored. */
    public void on(long nowNanos, HostEvent event) {
        switch (event) {
            case HostEvent.RequestArrived arrived -> arrived(nowNanos, arrived.request());
            case HostEvent.CallerGone gone -> {
                models.onCallerGone(nowNanos, gone.request());
                services.onCallerGone(nowNanos, gone.request());
            }
            case HostEvent.CallerConsumed took ->
                    models.onCallerConsumed(took.request(), took.tokens());
            case HostEvent.StatusRequested asked ->
                    statusRequested(nowNanos, asked.ticket(), asked.key());
            case HostEvent.RoutingReceived received ->
                    routed(nowNanos, received.from(), received.message());
            case HostEvent.RequestReceived received ->
                    received(nowNanos, received.from(), received.message());
            case HostEvent.RunEnded ended -> models.onEnded(nowNanos, ended.run(), ended.end());
            case HostEvent.CallEnded ended ->
                    services.onCallEnded(nowNanos, ended.run(), ended.server(), ended.end());
            case HostEvent.FleetChanged changed -> fleetChanged(nowNanos, changed.fleet());
            case HostEvent.DrainRequested asked -> drain(nowNanos);
            case HostEvent.DrainTimedOut over -> {
                models.giveUp(nowNanos);
                services.giveUp(nowNanos);
            }
            case HostEvent.Tick tick -> tick(nowNanos);
            case HostEvent.RunAccepted accepted -> {}
            case HostEvent.RunTokens tokens -> {}
            case HostEvent.LoadReported reported -> {}
            case HostEvent.CacheReported reported -> {}
            case HostEvent.StoreAnswered answered -> {}
            case HostEvent.WallClock clock -> {}
        }
    }

    /** Returns whether nothing is left to finish. */
    public boolean isIdle() {
        return models.isIdle() && services.isIdle();
    }

    /** Returns the number of requests under way. */
    public int size() {
        return models.size() + services.size();
    }

    /** Returns whether content must not be run. */
    public boolean isQuarantined(long nowNanos, Fingerprint fingerprint) {
        return poison.isQuarantined(nowNanos, fingerprint);
    }

    /** Returns the content that is held or under suspicion. */
    public List<QuarantinedContent> poison(long nowNanos) {
        return poison.list(nowNanos);
    }

    /** Releases content on all hosts; returns whether it was held or under suspicion here. */
    public boolean releasePoison(Fingerprint fingerprint) {
        return poison.release(fingerprint);
    }

    @Override
    public void onClaimed(long nowNanos, RequestKey key, RunId run, Claims.Result result) {
        services.onClaimed(nowNanos, run, result);
    }

    @Override
    public void onLookedUp(long nowNanos, long ticket, RequestKey key, Claims.Result result) {
        inquiries.onLookedUp(ticket, result);
    }

    private void arrived(long nowNanos, Request request) {
        if (draining) {
            refuse(request, NotRunReason.DRAINING, 0);
            return;
        }
        if (nowNanos >= request.deadlineNanos()) {
            refuse(request, NotRunReason.DEADLINE, 0);
            return;
        }
        KeyedRequest running = byKey.get(request.key());
        if (running != null) {
            join(running, request);
            return;
        }
        Optional<Results.Result> recent = results.get(nowNanos, request.key());
        if (recent.isPresent() && isFinal(request, recent.get().outcome())) {
            replay(request, recent.get());
            return;
        }
        if (poison.isQuarantined(nowNanos, request.fingerprint())) {
            refuse(request, NotRunReason.POISON, -1);
            return;
        }
        if (!admit(nowNanos, request)) {
            return;
        }
        perWorkspace.merge(request.workspace(), 1, Integer::sum);
        start(nowNanos, request);
    }

    /** Returns whether a resend gets the outcome as it is known here; the claims may know more. */
    private static boolean isFinal(Request request, Outcome outcome) {
        boolean doubtfulCall =
                outcome instanceof Outcome.InDoubt && request.work() instanceof Work.Call;
        return !doubtfulCall && !RequestMessage.mayRunAgain(outcome);
    }

    private void start(long nowNanos, Request request) {
        switch (request.work()) {
            case Work.Generate generate ->
                    models.start(nowNanos, request, e -> opened(nowNanos, e));
            case Work.Call call ->
                    services.start(nowNanos, request, c -> byKey.put(request.key(), c));
        }
    }

    /** Enters a key in the directory; another host that runs it already will be heard of. */
    private void opened(long nowNanos, Execution execution) {
        RequestKey key = execution.request.key();
        byKey.put(key, execution);
        execution.directories = directoriesOf(key);
        for (HostId host : execution.directories) {
            announce(nowNanos, execution, host);
        }
        execution.directories.stream().filter(h -> !h.equals(self)).forEach(execution.asked::add);
    }

    /** Enters a key at one host of its directory. */
    private void announce(long nowNanos, Execution execution, HostId host) {
        RequestKey key = execution.request.key();
        RequestId request = execution.request.id();
        if (!host.equals(self)) {
            send(host, new RequestMessage.KeyOpened(key, request));
            return;
        }
        directory
                .open(nowNanos, key, request)
                .filter(holder -> !holder.host().equals(self))
                .ifPresent(holder -> models.foundHolder(nowNanos, execution, holder));
    }

    private List<HostId> directoriesOf(RequestKey key) {
        return Rendezvous.choose(fleet, "keys/" + key, DIRECTORY_HOSTS);
    }

    /** Enters keys anew whose part of the directory went to another host. */
    private void rolloutKeys(long nowNanos) {
        for (Execution execution : models.all()) {
            List<HostId> before = execution.directories;
            execution.directories = directoriesOf(execution.request.key());
            for (HostId host : execution.directories) {
                if (!before.contains(host)) {
                    announce(nowNanos, execution, host);
                }
            }
        }
    }

    private void leaveDirectory(long nowNanos, Execution execution, Outcome outcome) {
        RequestKey key = execution.request.key();
        RequestId request = execution.request.id();
        boolean again = RequestMessage.mayRunAgain(outcome);
        for (HostId host : execution.directories) {
            if (host.equals(self)) {
                directory.close(nowNanos, key, request, again);
            } else {
                send(host, new RequestMessage.KeyClosed(key, request, again));
            }
        }
    }

    private void join(KeyedRequest running, Request request) {
        if (!running.request.fingerprint().equals(request.fingerprint())) {
            out.accept(new HostAction.Answer(request.id(), otherContent()));
            return;
        }
        switch (running) {
            case Execution execution -> models.join(execution, request);
            case ServiceCall call -> services.join(call, request);
        }
    }

    private void replay(Request request, Results.Result recent) {
        if (!recent.fingerprint().equals(request.fingerprint())) {
            out.accept(new HostAction.Answer(request.id(), otherContent()));
            return;
        }
        for (Piece piece : recent.pieces()) {
            out.accept(
                    new HostAction.WriteTokens(
                            request.id(), piece.firstToken(), piece.count(), piece.text()));
        }
        out.accept(new HostAction.Answer(request.id(), recent.outcome()));
    }

    private static Outcome otherContent() {
        return new Outcome.Failed(
                FailReason.REFUSED, "the idempotency key belongs to other content");
    }

    /** Returns whether there is room for a request, and makes room among lower tiers if not. */
    private boolean admit(long nowNanos, Request request) {
        Workspace workspace = fleet.workspaces().get(request.workspace());
        int held = perWorkspace.getOrDefault(request.workspace(), 0);
        if (workspace != null && held >= workspace.maxWaiting()) {
            boolean room = evict(nowNanos, request, Optional.of(request.workspace()));
            if (!room && !outranksAll(request, workspace)) {
                refuse(request, NotRunReason.WORKSPACE_LIMIT, limits.backoffMaxMillis());
                return false;
            }
        }
        int rank = Math.min(4, request.tier().rank());
        int room = (int) (limits.maxRequests() * (1 - RESERVE_PER_RANK * rank));
        if (size() >= room && !evict(nowNanos, request, Optional.empty())) {
            refuse(request, NotRunReason.OVERLOAD, limits.backoffMaxMillis());
            return false;
        }
        return true;
    }

    /** Returns whether a full workspace holds less than its limit of this tier and those above. */
    private boolean outranksAll(Request request, Workspace workspace) {
        int same = 0;
        for (KeyedRequest other : byKey.values()) {
            boolean counts =
                    other.request.workspace().equals(request.workspace())
                            && !request.tier().outranks(other.request.tier());
            same += counts ? 1 : 0;
        }
        return same < workspace.maxWaiting();
    }

    /** Ends the waiting request of the lowest tier below that of {@code request}, the latest. */
    private boolean evict(long nowNanos, Request request, Optional<WorkspaceId> within) {
        Optional<Execution> victim = Optional.empty();
        Comparator<Execution> order =
                Comparator.<Execution, Tier>comparing(e -> e.request.tier())
                        .thenComparingLong(e -> e.request.arrivedNanos());
        for (Execution execution : models.all()) {
            boolean fits =
                    request.tier().outranks(execution.request.tier())
                            && ModelRequests.isWaiting(execution)
                            && within.filter(w -> !w.equals(execution.request.workspace()))
                                    .isEmpty();
            if (fits && (victim.isEmpty() || order.compare(execution, victim.get()) > 0)) {
                victim = Optional.of(execution);
            }
        }
        NotRunReason reason =
                within.isPresent() ? NotRunReason.WORKSPACE_LIMIT : NotRunReason.OVERLOAD;
        victim.ifPresent(execution -> models.evict(nowNanos, execution, reason));
        return victim.isPresent();
    }

    private void refuse(Request request, NotRunReason reason, long retryAfterMillis) {
        Outcome outcome = new Outcome.NotRun(reason, retryAfterMillis);
        out.accept(new HostAction.Answer(request.id(), outcome));
    }

    private void statusRequested(long nowNanos, long ticket, RequestKey key) {
        RequestStatus here = status(nowNanos, key);
        if (!othersMayKnowMore(here)) {
            out.accept(new HostAction.ReplyStatus(ticket, here));
            return;
        }
        List<HostId> hosts = directoriesOf(key);
        Optional<HostId> host =
                hosts.contains(self) ? Optional.empty() : hosts.stream().findFirst();
        Optional<RequestId> holder =
                host.isPresent() ? Optional.empty() : directory.holder(nowNanos, key);
        inquiries.start(nowNanos, ticket, key, here, host, holder);
    }

    /** What this host didn't run, or doesn't know, another one may have run under the key. */
    private static boolean othersMayKnowMore(RequestStatus here) {
        return switch (here) {
            case RequestStatus.Unknown unknown -> true;
            case RequestStatus.Pending pending -> false;
            case RequestStatus.Final end ->
                    end.outcome() instanceof Outcome.NotRun
                            || end.outcome() instanceof Outcome.InDoubt;
        };
    }

    private RequestStatus status(long nowNanos, RequestKey key) {
        KeyedRequest running = byKey.get(key);
        boolean relays =
                running instanceof Execution execution
                        && execution.state instanceof Execution.Relaying;
        if (running != null && !relays) {
            return new RequestStatus.Pending();
        }
        return results.get(nowNanos, key)
                .<RequestStatus>map(result -> new RequestStatus.Final(result.outcome()))
                .orElseGet(RequestStatus.Unknown::new);
    }

    private void routed(long nowNanos, HostId from, RoutingMessage message) {
        switch (message) {
            case RoutingMessage.Granted granted -> models.onGranted(nowNanos, from, granted);
            case RoutingMessage.Refused refused -> models.onRefused(nowNanos, refused);
            case RoutingMessage.Tokens tokens -> models.onTokens(nowNanos, tokens);
            case RoutingMessage.Ended ended -> models.onEnded(nowNanos, ended.run(), ended.end());
            default -> {}
        }
    }

    private void received(long nowNanos, HostId from, RequestMessage message) {
        switch (message) {
            case RequestMessage.PoisonSeen seen -> poison.onSeen(nowNanos, seen);
            case RequestMessage.PoisonCleared cleared -> poison.onCleared(cleared);
            case RequestMessage.StatusRequested asked -> reportStatus(nowNanos, from, asked);
            case RequestMessage.StatusReported told -> statusReported(nowNanos, from, told);
            case RequestMessage.KeyOpened opened -> {
                Optional<RequestId> holder =
                        directory.open(nowNanos, opened.key(), opened.request());
                Optional<RequestId> asker = Optional.of(opened.request());
                send(from, new RequestMessage.KeyHolder(opened.key(), asker, holder));
            }
            case RequestMessage.KeyHolder holder -> holderTold(nowNanos, from, holder);
            case RequestMessage.KeyClosed closed ->
                    directory.close(nowNanos, closed.key(), closed.request(), closed.mayRunAgain());
            case RequestMessage.KeyRequested asked -> {
                Optional<RequestId> holder = directory.holder(nowNanos, asked.key());
                send(from, new RequestMessage.KeyHolder(asked.key(), Optional.empty(), holder));
            }
            case RequestMessage.ClaimRequested asked -> {}
            case RequestMessage.ClaimReported told -> {}
            case RequestMessage.OutcomeRequested asked -> {}
        }
    }

    private void statusReported(long nowNanos, HostId from, RequestMessage.StatusReported told) {
        inquiries.onStatus(told);
        KeyedRequest running = byKey.get(told.key());
        if (running instanceof ServiceCall call) {
            services.onStatus(nowNanos, call, from, told);
        } else if (running instanceof Execution execution && told.claim().isEmpty()) {
            models.onStatus(nowNanos, execution, from, told);
        }
    }

    private void holderTold(long nowNanos, HostId from, RequestMessage.KeyHolder told) {
        if (told.asker().isEmpty()) {
            inquiries.onHolder(told.key(), told.holder());
            return;
        }
        boolean awaited =
                byKey.get(told.key()) instanceof Execution execution
                        && execution.request.id().equals(told.asker().get());
        if (awaited) {
            models.onHolder(nowNanos, (Execution) byKey.get(told.key()), from, told.holder());
        }
    }

    private void reportStatus(long nowNanos, HostId from, RequestMessage.StatusRequested asked) {
        if (asked.claim().isPresent()) {
            RequestStatus status = services.statusOf(asked.claim().get());
            send(
                    from,
                    new RequestMessage.StatusReported(
                            asked.key(), asked.claim(), status, List.of()));
            return;
        }
        List<Piece> pieces =
                results.get(nowNanos, asked.key()).map(Results.Result::pieces).orElseGet(List::of);
        RequestStatus status = status(nowNanos, asked.key());
        send(from, new RequestMessage.StatusReported(asked.key(), asked.claim(), status, pieces));
    }

    private void fleetChanged(long nowNanos, FleetSnapshot changed) {
        boolean hostsChanged = !takingWork(changed).equals(takingWork(fleet));
        fleet = changed;
        poison.onFleet(nowNanos, changed);
        directory.onFleet(changed);
        inquiries.onFleet(changed);
        models.onFleet(nowNanos, changed);
        services.onFleet(nowNanos, changed);
        if (hostsChanged) {
            rolloutKeys(nowNanos);
        }
    }

    private static Set<HostId> takingWork(FleetSnapshot fleet) {
        return fleet.hosts().values().stream()
                .filter(EntryHost::takesWork)
                .map(EntryHost::id)
                .collect(Collectors.toSet());
    }

    private void drain(long nowNanos) {
        draining = true;
        models.drain(nowNanos);
        services.drain(nowNanos);
    }

    private void tick(long nowNanos) {
        poison.tick(nowNanos);
        models.tick(nowNanos);
        services.tick(nowNanos);
        inquiries.tick(nowNanos);
        results.trim(nowNanos);
    }

    private void modelClosed(long nowNanos, Execution execution, Outcome outcome) {
        leaveDirectory(nowNanos, execution, outcome);
        List<Piece> pieces =
                outcome instanceof Outcome.Answered
                        ? new ArrayList<>(execution.transcript.pieces())
                        : List.of();
        closed(
                nowNanos,
                execution,
                new Results.Result(execution.request.fingerprint(), outcome, pieces));
    }

    private void callClosed(long nowNanos, ServiceCall call, Outcome outcome) {
        closed(nowNanos, call, new Results.Result(call.request.fingerprint(), outcome, List.of()));
    }

    private void closed(long nowNanos, KeyedRequest request, Results.Result result) {
        RequestKey key = request.request.key();
        byKey.remove(key, request);
        perWorkspace.computeIfPresent(key.workspace(), (w, n) -> n > 1 ? n - 1 : null);
        results.put(nowNanos, key, result);
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}

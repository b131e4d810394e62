package org.orioleshed.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
 * The requests that an entry host accepted, from arrival to their single final outcome. Not
 * thread-safe: confined to one thread.
 */
public final class AcceptedRequests implements Claims.Listener {
    /**
     * The share of {@code maxRequests} that each rank below the first leaves free for higher tiers.
     */
    private static final double RESERVED_SHARE_PER_RANK = 0.15;

    /** The rank from which on tiers leave no more free than this one. */
    private static final int MAX_RESERVING_RANK = 4;

    /** The request that is evicted first is the greatest. */
    private static final Comparator<Execution> EVICTION_ORDER =
            Comparator.<Execution, Tier>comparing(e -> e.request.tier())
                    .thenComparingLong(e -> e.request.arrivedNanos());

    private final RequestLimits limits;
    private final Consumer<HostAction> out;
    private final PoisonWatch poison;
    private final OutcomeCache outcomes;

    /** The number of hosts that store each key's directory entry. */
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
     * Creates an instance without requests.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation the host's incarnation, which increases with each start
     * @param limits the limits to enforce
     * @param random the source for version selection and backoff jitter
     * @param selector selects the servers that a model request is offered to
     * @param claims the claims on the keys of non-repeatable calls
     * @param out receives the actions, in order
     */
    public AcceptedRequests(
            HostId self,
            FailureDomain domain,
            long incarnation,
            RequestLimits limits,
            RandomGenerator random,
            ServerSelector selector,
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
        this.outcomes = new OutcomeCache(limits.resultMillis(), limits.resultBytes());
        this.models = new ModelRequests(limits, random, selector, poison, out, this::onModelClosed);
        this.services =
                new ServiceRequests(
                        self, domain, incarnation, limits, random, claims, out, this::onCallClosed);
    }

    /** Handles an event that concerns accepted requests; ignores all others. */
    public void on(long nowNanos, HostEvent event) {
        switch (event) {
            case HostEvent.RequestArrived arrived -> onArrived(nowNanos, arrived.request());
            case HostEvent.CallerGone gone -> {
                models.onCallerGone(nowNanos, gone.request());
                services.onCallerGone(nowNanos, gone.request());
            }
            case HostEvent.CallerConsumed consumed ->
                    models.onCallerConsumed(consumed.request(), consumed.tokens());
            case HostEvent.StatusRequested requested ->
                    onStatusRequested(nowNanos, requested.ticket(), requested.key());
            case HostEvent.RoutingReceived received ->
                    onRouting(nowNanos, received.from(), received.message());
            case HostEvent.RequestReceived received ->
                    onReceived(nowNanos, received.from(), received.message());
            case HostEvent.RunEnded ended -> models.onEnded(nowNanos, ended.run(), ended.end());
            case HostEvent.CallEnded ended ->
                    services.onCallEnded(nowNanos, ended.run(), ended.server(), ended.end());
            case HostEvent.FleetChanged changed -> onFleetChanged(nowNanos, changed.fleet());
            case HostEvent.DrainRequested requested -> drain(nowNanos);
            case HostEvent.DrainTimedOut timedOut -> {
                models.endAll(nowNanos);
                services.endAll(nowNanos);
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

    /** Returns whether no request is in progress and no run is being cancelled. */
    public boolean isIdle() {
        return models.isIdle() && services.isIdle();
    }

    /** Returns the number of requests in progress. */
    public int size() {
        return models.size() + services.size();
    }

    /** Returns whether content is quarantined and must not be run. */
    public boolean isQuarantined(long nowNanos, Fingerprint fingerprint) {
        return poison.isQuarantined(nowNanos, fingerprint);
    }

    /** Returns the content that is quarantined or suspect. */
    public List<QuarantinedContent> poison(long nowNanos) {
        return poison.list(nowNanos);
    }

    /**
     * Releases content on all hosts; returns whether it was quarantined or suspect on this host.
     */
    public boolean releasePoison(Fingerprint fingerprint) {
        return poison.release(fingerprint);
    }

    @Override
    public void onClaimed(long nowNanos, RequestKey key, RunId run, Claims.Result result) {
        services.onClaimed(nowNanos, run, result);
    }

    @Override
    public void onLookedUp(long nowNanos, long ticket, RequestKey key, Claims.Result result) {
        if (!services.onLookedUp(nowNanos, ticket, result)) {
            inquiries.onLookedUp(ticket, result);
        }
    }

    private void onArrived(long nowNanos, Request request) {
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
        Optional<OutcomeCache.CachedOutcome> recent = outcomes.get(nowNanos, request.key());
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

    /**
     * Returns whether a resend receives the cached outcome. A call in doubt is looked up in the
     * claims instead, which may hold its outcome.
     */
    private static boolean isFinal(Request request, Outcome outcome) {
        boolean doubtfulCall =
                outcome instanceof Outcome.InDoubt && request.work() instanceof Work.Call;
        return !doubtfulCall && !RequestMessage.mayRunAgain(outcome);
    }

    private void start(long nowNanos, Request request) {
        switch (request.work()) {
            case Work.Generate generate ->
                    models.start(nowNanos, request, e -> onOpened(nowNanos, e));
            case Work.Call call ->
                    services.start(nowNanos, request, c -> byKey.put(request.key(), c));
        }
    }

    /**
     * Registers a key in the directory, which replies with the request that already holds it, if
     * any.
     */
    private void onOpened(long nowNanos, Execution execution) {
        RequestKey key = execution.request.key();
        byKey.put(key, execution);
        execution.directoryHosts = directoryHostsOf(key);
        for (HostId host : execution.directoryHosts) {
            announce(nowNanos, execution, host);
        }
        execution.directoryHosts.stream()
                .filter(h -> !h.equals(self))
                .forEach(execution.pendingDirectoryHosts::add);
    }

    /** Registers a key at one of its directory hosts. */
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
                .ifPresent(holder -> models.onHolderFound(nowNanos, execution, holder));
    }

    private List<HostId> directoryHostsOf(RequestKey key) {
        return Rendezvous.choose(fleet, "keys/" + key, DIRECTORY_HOSTS);
    }

    /** Registers keys at the directory hosts that became responsible for them. */
    private void reannounceKeys(long nowNanos) {
        for (Execution execution : models.all()) {
            List<HostId> before = execution.directoryHosts;
            execution.directoryHosts = directoryHostsOf(execution.request.key());
            for (HostId host : execution.directoryHosts) {
                if (!before.contains(host)) {
                    announce(nowNanos, execution, host);
                }
            }
        }
    }

    private void closeInDirectory(long nowNanos, Execution execution, Outcome outcome) {
        RequestKey key = execution.request.key();
        RequestId request = execution.request.id();
        boolean mayRunAgain = RequestMessage.mayRunAgain(outcome);
        for (HostId host : execution.directoryHosts) {
            if (host.equals(self)) {
                directory.close(nowNanos, key, request, mayRunAgain);
            } else {
                send(host, new RequestMessage.KeyClosed(key, request, mayRunAgain));
            }
        }
    }

    private void join(KeyedRequest running, Request request) {
        if (!running.request.fingerprint().equals(request.fingerprint())) {
            out.accept(new HostAction.Answer(request.id(), contentMismatch()));
            return;
        }
        switch (running) {
            case Execution execution -> models.join(execution, request);
            case ServiceCall call -> services.join(call, request);
        }
    }

    private void replay(Request request, OutcomeCache.CachedOutcome recent) {
        if (!recent.fingerprint().equals(request.fingerprint())) {
            out.accept(new HostAction.Answer(request.id(), contentMismatch()));
            return;
        }
        for (Piece piece : recent.pieces()) {
            out.accept(
                    new HostAction.WriteTokens(
                            request.id(), piece.firstToken(), piece.count(), piece.text()));
        }
        out.accept(new HostAction.Answer(request.id(), recent.outcome()));
    }

    private static Outcome contentMismatch() {
        return new Outcome.Failed(
                FailReason.REFUSED, "the idempotency key belongs to other content");
    }

    /**
     * Returns whether a request is admitted. Waiting requests of lower tiers are evicted when a
     * limit is reached, but only once it is certain that the request is admitted.
     */
    private boolean admit(long nowNanos, Request request) {
        Optional<Execution> inWorkspace = Optional.empty();
        if (isWorkspaceFull(request.workspace())) {
            inWorkspace = evictable(request, e -> isIn(request.workspace(), e));
            if (inWorkspace.isEmpty() && !isBelowWorkspaceLimit(request)) {
                refuse(request, NotRunReason.WORKSPACE_LIMIT, limits.backoffMaxMillis());
                return false;
            }
        }
        int remaining = size() - (inWorkspace.isPresent() ? 1 : 0);
        Optional<Execution> onHost = Optional.empty();
        if (remaining >= capacity(request.tier())) {
            Optional<Execution> evicted = inWorkspace;
            onHost = evictable(request, e -> evicted.filter(e::equals).isEmpty());
            if (onHost.isEmpty()) {
                refuse(request, NotRunReason.OVERLOAD, limits.backoffMaxMillis());
                return false;
            }
        }
        inWorkspace.ifPresent(e -> models.evict(nowNanos, e, NotRunReason.WORKSPACE_LIMIT));
        onHost.ifPresent(e -> models.evict(nowNanos, e, NotRunReason.OVERLOAD));
        return true;
    }

    private boolean isWorkspaceFull(WorkspaceId id) {
        Workspace workspace = fleet.workspaces().get(id);
        return workspace != null && perWorkspace.getOrDefault(id, 0) >= workspace.maxWaiting();
    }

    private static boolean isIn(WorkspaceId workspace, Execution execution) {
        return execution.request.workspace().equals(workspace);
    }

    /** Returns the number of requests at which the host is full for a tier. */
    private int capacity(Tier tier) {
        int rank = Math.min(MAX_RESERVING_RANK, tier.rank());
        return (int) (limits.maxRequests() * (1 - RESERVED_SHARE_PER_RANK * rank));
    }

    /**
     * Returns whether a full workspace has fewer requests of this tier and higher ones than its
     * limit.
     */
    private boolean isBelowWorkspaceLimit(Request request) {
        Workspace workspace = fleet.workspaces().get(request.workspace());
        int count = 0;
        for (KeyedRequest other : byKey.values()) {
            boolean sameOrHigher =
                    other.request.workspace().equals(request.workspace())
                            && !request.tier().outranks(other.request.tier());
            count += sameOrHigher ? 1 : 0;
        }
        return count < workspace.maxWaiting();
    }

    /**
     * Returns the latest waiting request of the lowest tier that {@code request} outranks, among
     * those that {@code eligible} accepts.
     */
    private Optional<Execution> evictable(Request request, Predicate<Execution> eligible) {
        Optional<Execution> candidate = Optional.empty();
        for (Execution execution : models.all()) {
            boolean evictable =
                    request.tier().outranks(execution.request.tier())
                            && ModelRequests.isWaiting(execution)
                            && eligible.test(execution);
            if (evictable
                    && (candidate.isEmpty()
                            || EVICTION_ORDER.compare(execution, candidate.get()) > 0)) {
                candidate = Optional.of(execution);
            }
        }
        return candidate;
    }

    private void refuse(Request request, NotRunReason reason, long retryAfterMillis) {
        Outcome outcome = new Outcome.NotRun(reason, retryAfterMillis);
        out.accept(new HostAction.Answer(request.id(), outcome));
    }

    private void onStatusRequested(long nowNanos, long ticket, RequestKey key) {
        RequestStatus local = status(nowNanos, key);
        if (!needsInquiry(local)) {
            out.accept(new HostAction.ReplyStatus(ticket, local));
            return;
        }
        List<HostId> hosts = directoryHostsOf(key);
        Optional<HostId> host =
                hosts.contains(self) ? Optional.empty() : hosts.stream().findFirst();
        Optional<RequestId> holder =
                host.isPresent() ? Optional.empty() : directory.holder(nowNanos, key);
        inquiries.start(nowNanos, ticket, key, local, host, holder);
    }

    /**
     * Returns whether other hosts have to be queried: another host may have run a key that is
     * unknown, not run or in doubt on this one.
     */
    private static boolean needsInquiry(RequestStatus local) {
        return switch (local) {
            case RequestStatus.Unknown unknown -> true;
            case RequestStatus.Pending pending -> false;
            case RequestStatus.Final end ->
                    end.outcome() instanceof Outcome.NotRun
                            || end.outcome() instanceof Outcome.InDoubt;
        };
    }

    private RequestStatus status(long nowNanos, RequestKey key) {
        KeyedRequest running = byKey.get(key);
        boolean relaying =
                running instanceof Execution execution
                        && execution.state instanceof Execution.Relaying;
        if (running != null && !relaying) {
            return new RequestStatus.Pending();
        }
        return outcomes.get(nowNanos, key)
                .<RequestStatus>map(result -> new RequestStatus.Final(result.outcome()))
                .orElseGet(RequestStatus.Unknown::new);
    }

    private void onRouting(long nowNanos, HostId from, RoutingMessage message) {
        switch (message) {
            case RoutingMessage.Granted granted -> models.onGranted(nowNanos, from, granted);
            case RoutingMessage.Refused refused -> models.onRefused(nowNanos, refused);
            case RoutingMessage.Tokens tokens -> models.onTokens(nowNanos, tokens);
            case RoutingMessage.Ended ended -> models.onEnded(nowNanos, ended.run(), ended.end());
            default -> {}
        }
    }

    private void onReceived(long nowNanos, HostId from, RequestMessage message) {
        switch (message) {
            case RequestMessage.PoisonSeen seen -> poison.onSeen(nowNanos, seen);
            case RequestMessage.PoisonCleared cleared -> poison.onCleared(cleared);
            case RequestMessage.StatusRequested requested ->
                    reportStatus(nowNanos, from, requested);
            case RequestMessage.StatusReported reported ->
                    onStatusReported(nowNanos, from, reported);
            case RequestMessage.KeyOpened opened -> {
                Optional<RequestId> holder =
                        directory.open(nowNanos, opened.key(), opened.request());
                Optional<RequestId> requester = Optional.of(opened.request());
                send(from, new RequestMessage.KeyHolder(opened.key(), requester, holder));
            }
            case RequestMessage.KeyHolder holder -> onHolderReported(nowNanos, from, holder);
            case RequestMessage.KeyClosed closed ->
                    directory.close(nowNanos, closed.key(), closed.request(), closed.mayRunAgain());
            case RequestMessage.KeyRequested requested -> {
                Optional<RequestId> holder = directory.holder(nowNanos, requested.key());
                send(from, new RequestMessage.KeyHolder(requested.key(), Optional.empty(), holder));
            }
            case RequestMessage.ClaimRequested requested -> {}
            case RequestMessage.ClaimReported reported -> {}
            case RequestMessage.OutcomeRequested requested -> {}
        }
    }

    private void onStatusReported(
            long nowNanos, HostId from, RequestMessage.StatusReported reported) {
        inquiries.onStatus(reported);
        KeyedRequest running = byKey.get(reported.key());
        if (running instanceof ServiceCall call) {
            services.onStatus(nowNanos, call, from, reported);
        } else if (running instanceof Execution execution && reported.claim().isEmpty()) {
            models.onStatus(nowNanos, execution, from, reported);
        }
    }

    private void onHolderReported(long nowNanos, HostId from, RequestMessage.KeyHolder reported) {
        if (reported.requester().isEmpty()) {
            inquiries.onHolder(reported.key(), reported.holder());
            return;
        }
        boolean awaited =
                byKey.get(reported.key()) instanceof Execution execution
                        && execution.request.id().equals(reported.requester().get());
        if (awaited) {
            models.onHolder(
                    nowNanos, (Execution) byKey.get(reported.key()), from, reported.holder());
        }
    }

    private void reportStatus(
            long nowNanos, HostId from, RequestMessage.StatusRequested requested) {
        if (requested.claim().isPresent()) {
            RequestStatus status = services.statusOf(requested.claim().get());
            send(
                    from,
                    new RequestMessage.StatusReported(
                            requested.key(), requested.claim(), status, List.of()));
            return;
        }
        List<Piece> pieces =
                outcomes.get(nowNanos, requested.key())
                        .map(OutcomeCache.CachedOutcome::pieces)
                        .orElseGet(List::of);
        RequestStatus status = status(nowNanos, requested.key());
        send(
                from,
                new RequestMessage.StatusReported(
                        requested.key(), requested.claim(), status, pieces));
    }

    private void onFleetChanged(long nowNanos, FleetSnapshot changed) {
        boolean hostsChanged = !acceptingHosts(changed).equals(acceptingHosts(fleet));
        fleet = changed;
        poison.onFleet(nowNanos, changed);
        directory.onFleet(changed);
        inquiries.onFleet(changed);
        models.onFleet(nowNanos, changed);
        services.onFleet(nowNanos, changed);
        if (hostsChanged) {
            reannounceKeys(nowNanos);
        }
    }

    private static Set<HostId> acceptingHosts(FleetSnapshot fleet) {
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
        outcomes.trim(nowNanos);
    }

    private void onModelClosed(long nowNanos, Execution execution, Outcome outcome) {
        closeInDirectory(nowNanos, execution, outcome);
        List<Piece> pieces =
                outcome instanceof Outcome.Answered
                        ? new ArrayList<>(execution.transcript.pieces())
                        : List.of();
        onClosed(
                nowNanos,
                execution,
                new OutcomeCache.CachedOutcome(execution.request.fingerprint(), outcome, pieces));
    }

    private void onCallClosed(long nowNanos, ServiceCall call, Outcome outcome) {
        onClosed(
                nowNanos,
                call,
                new OutcomeCache.CachedOutcome(call.request.fingerprint(), outcome, List.of()));
    }

    private void onClosed(long nowNanos, KeyedRequest request, OutcomeCache.CachedOutcome result) {
        RequestKey key = request.request.key();
        byKey.remove(key, request);
        perWorkspace.computeIfPresent(key.workspace(), (w, n) -> n > 1 ? n - 1 : null);
        outcomes.put(nowNanos, key, result);
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}

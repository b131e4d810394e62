package org.orioleshed.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.host.Decision;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent.CallEnd;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Outcome.FailReason;
import org.orioleshed.model.Outcome.NotRunReason;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.request.ServiceCall.AwaitingHolder;
import org.orioleshed.request.ServiceCall.Claiming;
import org.orioleshed.request.ServiceCall.Delayed;
import org.orioleshed.request.ServiceCall.Queued;
import org.orioleshed.request.ServiceCall.ReadingOutcome;
import org.orioleshed.request.ServiceCall.Sent;

/**
 * The calls to plain services that this host accepted. A non-repeatable call is claimed in the
 * store first, then sent at most once, by this host and directly to the service.
 */
final class ServiceRequests {
    /** The interval between status requests to the host that claimed a key. */
    private static final long STATUS_POLL_MILLIS = 200;

    /** The retry-after hint for a call that was not run because the store was unavailable. */
    private static final long STORE_RETRY_AFTER_MILLIS = 1_000;

    /** The number of routes without a free slot after which the queue is not searched further. */
    private static final int MAX_BLOCKED_ROUTES = 16;

    /** The number of outcomes of claimed runs kept for status requests of other hosts. */
    private static final int MAX_CLAIM_OUTCOMES = 50_000;

    private static final String HOLDER_GONE =
            "the host that sent the call is gone, and left no outcome";

    private static final String HOLDER_FORGOT =
            "the host that sent the call no longer knows its outcome";

    private static final Comparator<ServiceCall> QUEUE_ORDER =
            Comparator.<ServiceCall>comparingInt(call -> call.request.tier().rank())
                    .thenComparingLong(call -> call.request.deadlineNanos())
                    .thenComparing(call -> call.request.id().toString());

    private final HostId self;
    private final long incarnation;
    private final RequestLimits limits;
    private final RandomGenerator random;
    private final Claims claims;
    private final ServiceSlots slots;
    private final RetryBudget retries;
    private final Timers<ServiceCall> timers = new Timers<>();
    private final Consumer<HostAction> out;
    private final Closed onClosed;
    private final Map<RequestId, ServiceCall> byCaller = new HashMap<>();
    private final Map<RequestId, ServiceCall> byRequest = new LinkedHashMap<>();

    /** The outcomes of the runs that this host claimed or tried to claim. */
    private final Map<RunId, Outcome> claimOutcomes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<RunId, Outcome> eldest) {
                    return size() > MAX_CLAIM_OUTCOMES;
                }
            };

    /** The calls that wait for a lookup, by its ticket. */
    private final Map<Long, ServiceCall> lookUps = new HashMap<>();

    private final TreeSet<ServiceCall> queue = new TreeSet<>(QUEUE_ORDER);
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private boolean draining;

    /** The ticket of the latest lookup; negative, as those of status requests are positive. */
    private long lastTicket;

    /** Receives calls that have ended. */
    interface Closed {
        void closed(long nowNanos, ServiceCall call, Outcome outcome);
    }

    ServiceRequests(
            HostId self,
            FailureDomain domain,
            long incarnation,
            RequestLimits limits,
            RandomGenerator random,
            Claims claims,
            Consumer<HostAction> out,
            Closed onClosed) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
        this.random = random;
        this.claims = claims;
        this.out = out;
        this.onClosed = onClosed;
        this.slots = new ServiceSlots(domain, random);
        this.retries = new RetryBudget(limits.retryShare(), limits.retryBurst());
    }

    /** Starts a call whose key is not in progress on this host. */
    void start(long nowNanos, Request request, Consumer<KeyedRequest> onOpened) {
        ServiceCall call = new ServiceCall(request, new Delayed(nowNanos));
        byRequest.put(request.id(), call);
        addCaller(call, request);
        onOpened.accept(call);
        enqueue(nowNanos, call);
        timers.schedule(call);
    }

    /** Attaches a resend of the key to the call in progress. */
    void join(ServiceCall call, Request request) {
        addCaller(call, request);
        timers.schedule(call);
    }

    int size() {
        return byRequest.size();
    }

    boolean isIdle() {
        return byRequest.isEmpty();
    }

    boolean hasCaller(RequestId caller) {
        return byCaller.containsKey(caller);
    }

    void onFleet(long nowNanos, FleetSnapshot changed) {
        fleet = changed;
        slots.onFleet(changed);
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            if (call.state instanceof AwaitingHolder awaiting) {
                requestStatus(nowNanos, call, awaiting.holder());
            }
        }
        dispatchQueued(nowNanos);
    }

    void drain(long nowNanos) {
        draining = true;
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            if (call.provedNotRun()) {
                end(nowNanos, call, notRun(NotRunReason.DRAINING, 0));
            }
        }
    }

    /** Ends all remaining calls, as this host is about to stop. */
    void endAll(long nowNanos) {
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            log("give-up", call, null, "drain-over");
            end(nowNanos, call, stoppedOutcome(call));
        }
    }

    private static Outcome stoppedOutcome(ServiceCall call) {
        if (call.state instanceof AwaitingHolder) {
            return new Outcome.InDoubt("another host still runs the call");
        }
        if (call.provedNotRun()) {
            return notRun(NotRunReason.DRAINING, 0);
        }
        if (!call.work().repeatable()) {
            return new Outcome.InDoubt("the host stopped before the call had answered");
        }
        return new Outcome.Failed(FailReason.RETRIES_SPENT, KeyedRequest.HOST_STOPPED);
    }

    void onCallerGone(long nowNanos, RequestId caller) {
        ServiceCall call = byCaller.remove(caller);
        if (call == null) {
            return;
        }
        call.removeCaller(caller);
        if (call.callers.isEmpty() && call.provedNotRun()) {
            end(nowNanos, call, notRun(NotRunReason.CALLER_GONE, 0));
        }
    }

    void onCallEnded(long nowNanos, RunId run, ServerId server, CallEnd end) {
        ServiceCall call = byRequest.get(run.request());
        if (call == null || !(call.state instanceof Sent sent) || !sent.run().equals(run)) {
            return;
        }
        slots.release(server);
        switch (end) {
            case CallEnd.Answered answered -> onAnswered(nowNanos, call, answered);
            case CallEnd.NeverSent neverSent -> {
                call.mayHaveRun = call.ranBefore;
                slots.avoid(nowNanos, server);
                scheduleRetry(nowNanos, call, server, "never-sent");
            }
            case CallEnd.Broken broken -> onBroken(nowNanos, call, server, broken);
        }
        timers.schedule(call);
        dispatchQueued(nowNanos);
    }

    private void onAnswered(long nowNanos, ServiceCall call, CallEnd.Answered answered) {
        int statusClass = answered.status() / 100;
        if (statusClass == 2) {
            retries.onSuccess();
            end(nowNanos, call, new Outcome.Answered(0, answered.body()));
            return;
        }
        String detail = "the service answered with status " + answered.status();
        FailReason reason = statusClass == 4 ? FailReason.REFUSED : FailReason.BACKEND_ERROR;
        boolean retry = statusClass == 5 && mayRepeat(call);
        if (retry) {
            scheduleRetry(nowNanos, call, null, "service-error");
            return;
        }
        end(nowNanos, call, new Outcome.Failed(reason, detail));
    }

    private void onBroken(long nowNanos, ServiceCall call, ServerId server, CallEnd.Broken broken) {
        if (!call.work().repeatable()) {
            String detail = "the service was called and its answer lost: " + broken.detail();
            end(nowNanos, call, new Outcome.InDoubt(detail));
            return;
        }
        slots.avoid(nowNanos, server);
        if (mayRepeat(call)) {
            scheduleRetry(nowNanos, call, server, "call-broken");
            return;
        }
        end(nowNanos, call, new Outcome.Failed(FailReason.RETRIES_SPENT, broken.detail()));
    }

    private boolean mayRepeat(ServiceCall call) {
        call.failures++;
        return call.work().repeatable()
                && call.failures < limits.maxFailures()
                && retries.tryAcquire();
    }

    private void scheduleRetry(long nowNanos, ServiceCall call, ServerId server, String reason) {
        if (call.callers.isEmpty()) {
            end(nowNanos, call, callerGoneOutcome(call));
            return;
        }
        if (draining && call.provedNotRun()) {
            end(nowNanos, call, notRun(NotRunReason.DRAINING, 0));
            return;
        }
        log("retry", call, server, reason);
        int failures = Math.min(6, call.attempt);
        long bound = Math.min(limits.backoffMaxMillis(), limits.backoffBaseMillis() << failures);
        long delay = (long) ((0.5 + 0.5 * random.nextDouble()) * nanos(bound));
        call.state = new Delayed(nowNanos + delay);
    }

    /** Handles the result of a pending claim. */
    void onClaimed(long nowNanos, RunId run, Claims.Result result) {
        ServiceCall call = byRequest.get(run.request());
        if (call == null
                || !(call.state instanceof Claiming claiming)
                || !run.equals(call.claimRun)) {
            return;
        }
        switch (result) {
            case Claims.Result.Acquired acquired -> {
                call.claimHeld = true;
                send(nowNanos, call, claiming.server());
            }
            case Claims.Result.Taken taken -> {
                slots.release(claiming.server());
                onTaken(nowNanos, call, taken);
            }
            case Claims.Result.Free free -> abandonClaim(nowNanos, call, claiming);
            case Claims.Result.Unavailable unavailable -> abandonClaim(nowNanos, call, claiming);
        }
        timers.schedule(call);
        dispatchQueued(nowNanos);
    }

    private void abandonClaim(long nowNanos, ServiceCall call, Claiming claiming) {
        slots.release(claiming.server());
        call.state = new Delayed(nowNanos);
        claims.abandon(call.request.key(), call.claimRun);
        end(nowNanos, call, notRun(NotRunReason.STORE_AWAY, STORE_RETRY_AFTER_MILLIS));
    }

    private void onTaken(long nowNanos, ServiceCall call, Claims.Result.Taken taken) {
        if (taken.outcome().isEmpty()) {
            call.claimedElsewhere = true;
            requestStatus(nowNanos, call, taken.holder());
            return;
        }
        if (taken.outcome().get() instanceof Outcome.NotRun) {
            replace(nowNanos, call, taken.holder());
            return;
        }
        end(nowNanos, call, taken.outcome().get());
    }

    /** Replaces an earlier claim on the key whose run is proved never to be sent. */
    private void replace(long nowNanos, ServiceCall call, RunId earlierRun) {
        call.claimedElsewhere = false;
        call.replaces = Optional.of(earlierRun);
        enqueue(nowNanos, call);
    }

    /**
     * Requests the status of a claimed key from the host that claimed it, if that host is still the
     * same incarnation.
     */
    private void requestStatus(long nowNanos, ServiceCall call, RunId holder) {
        HostId host = holder.request().host();
        EntryHost holderHost = fleet.hosts().get(host);
        boolean claimedBySelf = host.equals(self) && holder.request().incarnation() == incarnation;
        boolean claimedByLivePeer =
                !host.equals(self)
                        && holderHost != null
                        && holderHost.state() != EntryHost.State.DEAD
                        && holderHost.incarnation() == holder.request().incarnation();
        if (!claimedByLivePeer && !claimedBySelf) {
            readOutcome(nowNanos, call, holder, HOLDER_GONE);
            return;
        }
        call.state = new AwaitingHolder(holder, host, nowNanos + nanos(STATUS_POLL_MILLIS));
        out.accept(
                new HostAction.SendRequest(
                        host,
                        new RequestMessage.StatusRequested(
                                call.request.key(), Optional.of(holder))));
        timers.schedule(call);
    }

    /** Handles the status reported by the host that claimed a key. */
    void onStatus(
            long nowNanos, ServiceCall call, HostId from, RequestMessage.StatusReported reported) {
        boolean expected =
                call.state instanceof AwaitingHolder awaiting
                        && awaiting.host().equals(from)
                        && reported.claim().equals(Optional.of(awaiting.holder()));
        if (!expected) {
            return;
        }
        RunId holder = ((AwaitingHolder) call.state).holder();
        switch (reported.status()) {
            case RequestStatus.Pending pending -> {}
            case RequestStatus.Unknown unknown ->
                    readOutcome(nowNanos, call, holder, HOLDER_FORGOT);
            case RequestStatus.Final end when end.outcome() instanceof Outcome.NotRun ->
                    replace(nowNanos, call, holder);
            case RequestStatus.Final end -> end(nowNanos, call, end.outcome());
        }
        timers.schedule(call);
    }

    /**
     * Reads the outcome of a run that its host no longer reports: the host may have recorded it
     * before it stopped.
     *
     * @param doubt the detail of the caller's outcome if none was recorded
     */
    private void readOutcome(long nowNanos, ServiceCall call, RunId holder, String doubt) {
        long ticket = --lastTicket;
        call.state = new ReadingOutcome(holder, ticket, doubt);
        lookUps.put(ticket, call);
        claims.lookUp(nowNanos, ticket, call.request.key());
    }

    /** Handles the result of a lookup; returns whether this instance started it. */
    boolean onLookedUp(long nowNanos, long ticket, Claims.Result result) {
        ServiceCall call = lookUps.remove(ticket);
        if (call == null) {
            return false;
        }
        boolean waits =
                !call.closed
                        && call.state instanceof ReadingOutcome reading
                        && reading.ticket() == ticket;
        if (waits) {
            onOutcomeRead(nowNanos, call, (ReadingOutcome) call.state, result);
            timers.schedule(call);
        }
        return true;
    }

    private void onOutcomeRead(
            long nowNanos, ServiceCall call, ReadingOutcome reading, Claims.Result result) {
        boolean known =
                result instanceof Claims.Result.Taken taken
                        && (taken.outcome().isPresent()
                                || !taken.holder().equals(reading.holder()));
        if (known) {
            onTaken(nowNanos, call, (Claims.Result.Taken) result);
            return;
        }
        end(nowNanos, call, new Outcome.InDoubt(reading.doubt()));
    }

    /** Returns the status of a run that this host claimed. */
    RequestStatus statusOf(RunId claim) {
        ServiceCall call = byRequest.get(claim.request());
        if (call != null && claim.equals(call.claimRun)) {
            return new RequestStatus.Pending();
        }
        Outcome outcome = claimOutcomes.get(claim);
        return outcome == null ? new RequestStatus.Unknown() : new RequestStatus.Final(outcome);
    }

    private void enqueue(long nowNanos, ServiceCall call) {
        Route route = fleet.routes().get(call.request.route());
        if (route == null || !slots.hasServer(route, Optional.empty())) {
            long retryAfterMillis = limits.noServerMillis();
            Outcome outcome =
                    call.provedNotRun()
                            ? notRun(NotRunReason.NO_SERVER, retryAfterMillis)
                            : new Outcome.Failed(FailReason.RETRIES_SPENT, "no server is left");
            end(nowNanos, call, outcome);
            return;
        }
        call.state = new Queued(call.request.id().sequence());
        queue.add(call);
        dispatchQueued(nowNanos);
    }

    private void dispatchQueued(long nowNanos) {
        Set<RouteId> blocked = new HashSet<>();
        ServiceCall call = queue.isEmpty() ? null : queue.first();
        while (call != null && blocked.size() < MAX_BLOCKED_ROUTES) {
            RouteId route = call.request.route();
            if (!blocked.contains(route) && !dispatch(nowNanos, call)) {
                blocked.add(route);
            }
            call = queue.higher(call);
        }
    }

    private boolean dispatch(long nowNanos, ServiceCall call) {
        Route route = fleet.routes().get(call.request.route());
        if (route == null) {
            return false;
        }
        Optional<VersionId> version = version(call, route);
        Optional<ServerId> server = slots.acquire(nowNanos, route, version);
        if (server.isEmpty()) {
            return false;
        }
        queue.remove(call);
        call.attempt++;
        boolean needsClaim = !call.work().repeatable() && !call.claimHeld;
        if (!needsClaim) {
            send(nowNanos, call, server.get());
            return true;
        }
        call.claimRun = call.run();
        call.state = new Claiming(server.get());
        claims.claim(nowNanos, call.request.key(), call.claimRun, call.replaces);
        return true;
    }

    private Optional<VersionId> version(ServiceCall call, Route route) {
        double draw = call.failures > 0 ? 1 : random.nextDouble();
        Optional<VersionId> version = fleet.version(call.request.route(), Math.min(draw, 0.999999));
        return slots.hasServer(route, version) ? version : Optional.empty();
    }

    private void send(long nowNanos, ServiceCall call, ServerId server) {
        if (call.callers.isEmpty()) {
            slots.release(server);
            call.state = new Delayed(nowNanos);
            end(nowNanos, call, callerGoneOutcome(call));
            return;
        }
        if (nowNanos >= call.deadlineNanos()) {
            slots.release(server);
            call.state = new Delayed(nowNanos);
            end(nowNanos, call, deadlineOutcome(call));
            return;
        }
        if (!slots.takesWork(server)) {
            slots.release(server);
            enqueue(nowNanos, call);
            return;
        }
        long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - nowNanos);
        call.state = new Sent(call.run(), server);
        call.ranBefore = call.mayHaveRun;
        call.mayHaveRun = true;
        log("place", call, server, "least-calls");
        out.accept(
                new HostAction.CallService(
                        call.run(),
                        server,
                        call.work().call(),
                        call.request.body(),
                        Math.max(1, timeoutMillis)));
    }

    /** Handles the timers that are due. */
    void tick(long nowNanos) {
        for (ServiceCall call = timers.poll(nowNanos); call != null; call = timers.poll(nowNanos)) {
            onTimer(nowNanos, call);
            timers.schedule(call);
        }
    }

    private void onTimer(long nowNanos, ServiceCall call) {
        for (Caller expired : call.expiredCallers(nowNanos)) {
            out.accept(new HostAction.Answer(expired.request.id(), deadlineOutcome(call)));
            byCaller.remove(expired.request.id());
            call.removeCaller(expired.request.id());
        }
        boolean sent = call.state instanceof Sent;
        if (call.callers.isEmpty() && !sent) {
            end(nowNanos, call, deadlineOutcome(call));
            return;
        }
        switch (call.state) {
            case Delayed delayed when nowNanos >= delayed.untilNanos() -> enqueue(nowNanos, call);
            case AwaitingHolder awaiting when nowNanos >= awaiting.pollNanos() ->
                    requestStatus(nowNanos, call, awaiting.holder());
            default -> {}
        }
    }

    private static Outcome callerGoneOutcome(ServiceCall call) {
        if (call.provedNotRun()) {
            return notRun(NotRunReason.CALLER_GONE, 0);
        }
        return new Outcome.Failed(FailReason.CALLER_GONE, "the caller left");
    }

    private static Outcome deadlineOutcome(ServiceCall call) {
        if (call.claimedElsewhere) {
            return new Outcome.InDoubt("another host still runs the call");
        }
        if (call.provedNotRun() && call.callers.size() > 1) {
            return new Outcome.InDoubt(KeyedRequest.SHARED_KEY);
        }
        if (call.provedNotRun()) {
            return notRun(NotRunReason.DEADLINE, 0);
        }
        if (!call.work().repeatable()) {
            return new Outcome.InDoubt("the call was sent and has not answered yet");
        }
        return new Outcome.Failed(FailReason.DEADLINE, "the deadline passed");
    }

    private void end(long nowNanos, ServiceCall call, Outcome outcome) {
        queue.remove(call);
        if (call.state instanceof Claiming claiming) {
            slots.release(claiming.server());
            claims.abandon(call.request.key(), call.claimRun);
        }
        if (call.claimRun != null) {
            claimOutcomes.put(call.claimRun, outcome);
        }
        if (call.claimHeld) {
            claims.record(nowNanos, call.request.key(), call.claimRun, outcome);
        }
        for (Caller caller : call.callers) {
            out.accept(new HostAction.Answer(caller.request.id(), outcome));
            byCaller.remove(caller.request.id());
        }
        call.callers.clear();
        call.closed = true;
        byRequest.remove(call.request.id());
        onClosed.closed(nowNanos, call, outcome);
    }

    private void addCaller(ServiceCall call, Request request) {
        call.callers.add(new Caller(request));
        byCaller.put(request.id(), call);
    }

    private void log(String kind, ServiceCall call, ServerId server, String reason) {
        out.accept(
                new HostAction.Log(
                        new Decision(
                                kind,
                                call.run(),
                                call.request.tier(),
                                Optional.ofNullable(server),
                                "",
                                reason)));
    }

    private static Outcome notRun(NotRunReason reason, long retryAfterMillis) {
        return new Outcome.NotRun(reason, retryAfterMillis);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

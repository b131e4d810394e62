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
import org.orioleshed.request.ServiceCall.Asking;
import org.orioleshed.request.ServiceCall.Claiming;
import org.orioleshed.request.ServiceCall.Delayed;
import org.orioleshed.request.ServiceCall.Queued;
import org.orioleshed.request.ServiceCall.Sent;

/**
 * The calls to plain services that this host accepted. A call that may not be repeated is claimed
 * in the store before it is sent, and sent at most once: by this host, straight to the service.
 */
final class ServiceRequests {
    /** How often the host that claimed a key is asked for its request status. */
    private static final long ASK_MILLIS = 200;

    /** When a caller should ask again after the store was away. */
    private static final long STORE_RETRY_MILLIS = 1_000;

    /** Routes without a free place after which the queue is not searched further. */
    private static final int MAX_BLOCKED_ROUTES = 16;

    /** How many ends of claimed runs are kept for hosts that ask. */
    private static final int MAX_FATES = 50_000;

    private static final Comparator<ServiceCall> ORDER =
            Comparator.<ServiceCall>comparingInt(call -> call.request.tier().rank())
                    .thenComparingLong(call -> call.request.deadlineNanos())
                    .thenComparing(call -> call.request.id().toString());

    private final HostId self;
    private final long incarnation;
    private final RequestLimits limits;
    private final RandomGenerator random;
    private final Claims claims;
    private final ServicePlaces places;
    private final RetryBudget retries;
    private final Wakes<ServiceCall> wakes = new Wakes<>();
    private final Consumer<HostAction> out;
    private final Closed onClosed;
    private final Map<RequestId, ServiceCall> byCaller = new HashMap<>();
    private final Map<RequestId, ServiceCall> byRequest = new LinkedHashMap<>();

    /** How the runs that this host claimed or tried to claim ended. */
    private final Map<RunId, Outcome> claimOutcomes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<RunId, Outcome> eldest) {
                    return size() > MAX_FATES;
                }
            };

    private final TreeSet<ServiceCall> queue = new TreeSet<>(ORDER);
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private boolean draining;

    /** Hears of calls that are over. */
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
        this.places = new ServicePlaces(domain, random);
        this.retries = new RetryBudget(limits.retryShare(), limits.retryBurst());
    }

    /** Starts a call whose key runs nowhere else on this host. */
    void start(long nowNanos, Request request, Consumer<KeyedRequest> onOpened) {
        ServiceCall call = new ServiceCall(request, new Delayed(nowNanos));
        byRequest.put(request.id(), call);
        addCaller(call, request);
        onOpened.accept(call);
        enqueue(nowNanos, call);
        wakes.schedule(call);
    }

    /** Lets a resend of the key share a call under way. */
    void join(ServiceCall call, Request request) {
        addCaller(call, request);
        wakes.schedule(call);
    }

    int size() {
        return byRequest.size();
    }

    boolean isIdle() {
        return byRequest.isEmpty();
    }

    boolean knowsCaller(RequestId caller) {
        return byCaller.containsKey(caller);
    }

    void onFleet(long nowNanos, FleetSnapshot changed) {
        fleet = changed;
        places.onFleet(changed);
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            if (call.state instanceof Asking asking) {
                ask(nowNanos, call, asking.holder());
            }
        }
        sendQueued(nowNanos);
    }

    void drain(long nowNanos) {
        draining = true;
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            if (call.provedNotRun()) {
                end(nowNanos, call, notRun(NotRunReason.DRAINING, 0));
            }
        }
    }

    /** Answers all that is left: this host won't be there to hear how it ends. */
    void giveUp(long nowNanos) {
        for (ServiceCall call : List.copyOf(byRequest.values())) {
            log("give-up", call, null, "drain-over");
            end(nowNanos, call, givenUpOutcome(call));
        }
    }

    private static Outcome givenUpOutcome(ServiceCall call) {
        if (call.state instanceof Asking) {
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
        places.release(server);
        switch (end) {
            case CallEnd.Answered answered -> answered(nowNanos, call, answered);
            case CallEnd.NeverSent never -> {
                call.mayHaveRun = call.ranBefore;
                places.avoid(nowNanos, server);
                again(nowNanos, call, server, "never-sent");
            }
            case CallEnd.Broken broken -> broken(nowNanos, call, server, broken);
        }
        wakes.schedule(call);
        sendQueued(nowNanos);
    }

    private void answered(long nowNanos, ServiceCall call, CallEnd.Answered answered) {
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
            again(nowNanos, call, null, "service-error");
            return;
        }
        end(nowNanos, call, new Outcome.Failed(reason, detail));
    }

    private void broken(long nowNanos, ServiceCall call, ServerId server, CallEnd.Broken broken) {
        if (!call.work().repeatable()) {
            String detail = "the service was called and its answer lost: " + broken.detail();
            end(nowNanos, call, new Outcome.InDoubt(detail));
            return;
        }
        places.avoid(nowNanos, server);
        if (mayRepeat(call)) {
            again(nowNanos, call, server, "call-broken");
            return;
        }
        end(nowNanos, call, new Outcome.Failed(FailReason.RETRIES_SPENT, broken.detail()));
    }

    private boolean mayRepeat(ServiceCall call) {
        call.failures++;
        return call.work().repeatable() && call.failures < limits.maxFailures() && retries.take();
    }

    private void again(long nowNanos, ServiceCall call, ServerId server, String reason) {
        if (call.callers.isEmpty()) {
            end(nowNanos, call, goneOutcome(call));
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

    /** Hears what became of a claim under way. */
    void onClaimed(long nowNanos, RunId run, Claims.Result result) {
        ServiceCall call = byRequest.get(run.request());
        if (call == null
                || !(call.state instanceof Claiming claiming)
                || !run.equals(call.claimed)) {
            return;
        }
        switch (result) {
            case Claims.Result.Acquired owned -> {
                call.owned = true;
                send(nowNanos, call, claiming.server());
            }
            case Claims.Result.Taken taken -> {
                places.release(claiming.server());
                taken(nowNanos, call, taken);
            }
            case Claims.Result.Free free -> giveUpClaim(nowNanos, call, claiming);
            case Claims.Result.Unavailable unavailable -> giveUpClaim(nowNanos, call, claiming);
        }
        wakes.schedule(call);
        sendQueued(nowNanos);
    }

    private void giveUpClaim(long nowNanos, ServiceCall call, Claiming claiming) {
        places.release(claiming.server());
        call.state = new Delayed(nowNanos);
        claims.abandon(call.request.key(), call.claimed);
        end(nowNanos, call, notRun(NotRunReason.STORE_AWAY, STORE_RETRY_MILLIS));
    }

    private void taken(long nowNanos, ServiceCall call, Claims.Result.Taken taken) {
        if (taken.outcome().isEmpty()) {
            call.taken = true;
            ask(nowNanos, call, taken.holder());
            return;
        }
        if (taken.outcome().get() instanceof Outcome.NotRun) {
            replace(nowNanos, call, taken.holder());
            return;
        }
        end(nowNanos, call, taken.outcome().get());
    }

    /** Claims a key anew whose earlier claim is proved never to be sent. */
    private void replace(long nowNanos, ServiceCall call, RunId earlier) {
        call.taken = false;
        call.replaces = Optional.of(earlier);
        enqueue(nowNanos, call);
    }

    /** Asks the host that claimed a key what became of it, as long as it is the same process. */
    private void ask(long nowNanos, ServiceCall call, RunId holder) {
        HostId host = holder.request().host();
        EntryHost known = fleet.hosts().get(host);
        boolean here = host.equals(self) && holder.request().incarnation() == incarnation;
        boolean there =
                !host.equals(self)
                        && known != null
                        && known.state() != EntryHost.State.DEAD
                        && known.incarnation() == holder.request().incarnation();
        if (!there && !here) {
            String detail = "the host that sent the call is gone, and left no outcome";
            end(nowNanos, call, new Outcome.InDoubt(detail));
            return;
        }
        call.state = new Asking(holder, host, nowNanos + nanos(ASK_MILLIS));
        out.accept(
                new HostAction.SendRequest(
                        host,
                        new RequestMessage.StatusRequested(
                                call.request.key(), Optional.of(holder))));
        wakes.schedule(call);
    }

    /** Hears from the host that claimed a key. */
    void onStatus(
            long nowNanos, ServiceCall call, HostId from, RequestMessage.StatusReported told) {
        boolean awaited =
                call.state instanceof Asking asking
                        && asking.host().equals(from)
                        && told.claim().equals(Optional.of(asking.holder()));
        if (!awaited) {
            return;
        }
        RunId holder = ((Asking) call.state).holder();
        switch (told.status()) {
            case RequestStatus.Pending pending -> {}
            case RequestStatus.Unknown unknown -> {
                String detail = "the host that sent the call no longer knows its outcome";
                end(nowNanos, call, new Outcome.InDoubt(detail));
            }
            case RequestStatus.Final end when end.outcome() instanceof Outcome.NotRun ->
                    replace(nowNanos, call, holder);
            case RequestStatus.Final end -> end(nowNanos, call, end.outcome());
        }
        wakes.schedule(call);
    }

    /** Returns what became of a run that this host claimed, for a host that asks. */
    RequestStatus statusOf(RunId claim) {
        ServiceCall call = byRequest.get(claim.request());
        if (call != null && claim.equals(call.claimed)) {
            return new RequestStatus.Pending();
        }
        Outcome outcome = claimOutcomes.get(claim);
        return outcome == null ? new RequestStatus.Unknown() : new RequestStatus.Final(outcome);
    }

    private void enqueue(long nowNanos, ServiceCall call) {
        Route route = fleet.routes().get(call.request.route());
        if (route == null || !places.hasServer(route, Optional.empty())) {
            long retryAfter = limits.noServerMillis();
            Outcome outcome =
                    call.provedNotRun()
                            ? notRun(NotRunReason.NO_SERVER, retryAfter)
                            : new Outcome.Failed(FailReason.RETRIES_SPENT, "no server is left");
            end(nowNanos, call, outcome);
            return;
        }
        call.state = new Queued(call.request.id().sequence());
        queue.add(call);
        sendQueued(nowNanos);
    }

    private void sendQueued(long nowNanos) {
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
        Optional<ServerId> server = places.take(nowNanos, route, version);
        if (server.isEmpty()) {
            return false;
        }
        queue.remove(call);
        call.attempt++;
        boolean needsClaim = !call.work().repeatable() && !call.owned;
        if (!needsClaim) {
            send(nowNanos, call, server.get());
            return true;
        }
        call.claimed = call.run();
        call.state = new Claiming(server.get());
        claims.claim(nowNanos, call.request.key(), call.claimed, call.replaces);
        return true;
    }

    private Optional<VersionId> version(ServiceCall call, Route route) {
        double draw = call.failures > 0 ? 1 : random.nextDouble();
        Optional<VersionId> version = fleet.version(call.request.route(), Math.min(draw, 0.999999));
        return places.hasServer(route, version) ? version : Optional.empty();
    }

    private void send(long nowNanos, ServiceCall call, ServerId server) {
        if (call.callers.isEmpty()) {
            places.release(server);
            call.state = new Delayed(nowNanos);
            end(nowNanos, call, goneOutcome(call));
            return;
        }
        if (nowNanos >= call.deadlineNanos()) {
            places.release(server);
            call.state = new Delayed(nowNanos);
            end(nowNanos, call, lateOutcome(call));
            return;
        }
        if (!places.takesWork(server)) {
            places.release(server);
            enqueue(nowNanos, call);
            return;
        }
        long timeout = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - nowNanos);
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
                        Math.max(1, timeout)));
    }

    /** Does what time asks for. */
    void tick(long nowNanos) {
        for (ServiceCall call = wakes.poll(nowNanos); call != null; call = wakes.poll(nowNanos)) {
            wake(nowNanos, call);
            wakes.schedule(call);
        }
    }

    private void wake(long nowNanos, ServiceCall call) {
        for (Caller late : call.lateCallers(nowNanos)) {
            out.accept(new HostAction.Answer(late.request.id(), lateOutcome(call)));
            byCaller.remove(late.request.id());
            call.removeCaller(late.request.id());
        }
        boolean sent = call.state instanceof Sent;
        if (call.callers.isEmpty() && !sent) {
            end(nowNanos, call, lateOutcome(call));
            return;
        }
        switch (call.state) {
            case Delayed delayed when nowNanos >= delayed.untilNanos() -> enqueue(nowNanos, call);
            case Asking asking when nowNanos >= asking.askAgainNanos() ->
                    ask(nowNanos, call, asking.holder());
            default -> {}
        }
    }

    private static Outcome goneOutcome(ServiceCall call) {
        if (call.provedNotRun()) {
            return notRun(NotRunReason.CALLER_GONE, 0);
        }
        return new Outcome.Failed(FailReason.CALLER_GONE, "the caller left");
    }

    private static Outcome lateOutcome(ServiceCall call) {
        if (call.taken) {
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
            places.release(claiming.server());
            claims.abandon(call.request.key(), call.claimed);
        }
        if (call.claimed != null) {
            claimOutcomes.put(call.claimed, outcome);
        }
        if (call.owned) {
            claims.record(nowNanos, call.request.key(), call.claimed, outcome);
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

package org.orioleshed.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.Decision;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Outcome.FailReason;
import org.orioleshed.model.Outcome.NotRunReason;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.request.Execution.Cancelling;
import org.orioleshed.request.Execution.Offering;
import org.orioleshed.request.Execution.Relaying;
import org.orioleshed.request.Execution.Running;
import org.orioleshed.request.Execution.Waiting;
import org.orioleshed.request.RequestMessage.Piece;
import org.orioleshed.request.ServerSelector.Choice;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RoutingMessage.Refused;
import org.orioleshed.routing.RunEnd;

/**
 * The model requests that this host accepted: offers to owners, streams to the callers, retries,
 * and the single final outcome.
 */
final class ModelRequests {
    /** The prefill rate assumed when computing how long a new run may stay silent. */
    private static final int MIN_PREFILL_TOKENS_PER_SECOND = 500;

    /**
     * How long a request with suspect content waits while the same content is being offered or run.
     */
    private static final long SUSPECT_WAIT_MILLIS = 200;

    /** How long a stream may pause before its owner is probed for whether it has the run. */
    private static final long PROBE_INTERVAL_MILLIS = 2_000;

    /** The interval between status requests to the host that runs a key. */
    private static final long RELAY_POLL_MILLIS = 100;

    /** Bounds of the retry-after hint for shed requests. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private final RequestLimits limits;
    private final RandomGenerator random;
    private final ServerChoices servers;
    private final CallerStreams streams;
    private final ServerSelector selector;
    private final PoisonWatch poison;
    private final RetryBudget retries;
    private final RunCanceller canceller;
    private final OfferRounds offers;
    private final Timers<Execution> timers = new Timers<>();
    private final Consumer<HostAction> out;
    private final Closed onClosed;
    private final Map<RequestId, Execution> byRequest = new LinkedHashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private boolean draining;

    /** Receives executions that have ended. */
    interface Closed {
        void closed(long nowNanos, Execution execution, Outcome outcome);
    }

    ModelRequests(
            RequestLimits limits,
            RandomGenerator random,
            ServerSelector selector,
            PoisonWatch poison,
            Consumer<HostAction> out,
            Closed onClosed) {
        this.limits = limits;
        this.random = random;
        this.servers = new ServerChoices(random, selector, poison, limits.offersAtOnce());
        this.streams = new CallerStreams(limits, out);
        this.selector = selector;
        this.poison = poison;
        this.out = out;
        this.onClosed = onClosed;
        this.retries = new RetryBudget(limits.retryShare(), limits.retryBurst());
        this.canceller = new RunCanceller(limits.cancelRepeatMillis(), out);
        this.offers = new OfferRounds(limits, selector, out);
    }

    /**
     * Starts a request whose key is not in progress on this host.
     *
     * @param onOpened registers the key and records the directory hosts whose replies are pending
     */
    void start(long nowNanos, Request request, Consumer<Execution> onOpened) {
        Execution execution = new Execution(request, new Waiting(nowNanos));
        execution.version = servers.draw(request.route());
        byRequest.put(request.id(), execution);
        streams.add(execution, request);
        onOpened.accept(execution);
        if (execution.state instanceof Relaying || execution.awaitsOrphan) {
            execution.pendingDirectoryHosts.clear();
        } else if (!execution.pendingDirectoryHosts.isEmpty()) {
            waitUntil(execution, nowNanos + nanos(limits.directoryMillis()));
        } else {
            offer(nowNanos, execution);
        }
        timers.schedule(execution);
    }

    /** Attaches a resend of the key to the execution in progress. */
    void join(Execution execution, Request request) {
        streams.add(execution, request);
        timers.schedule(execution);
    }

    /** Handles a directory host's reply on which other request holds the key. */
    void onHolder(long nowNanos, Execution execution, HostId from, Optional<RequestId> holder) {
        if (!execution.pendingDirectoryHosts.remove(from)) {
            return;
        }
        if (holder.isPresent()) {
            execution.pendingDirectoryHosts.clear();
            relay(nowNanos, execution, holder.get());
        } else if (execution.pendingDirectoryHosts.isEmpty()) {
            offer(nowNanos, execution);
        }
        timers.schedule(execution);
    }

    /** Handles a key held by another host. Ignored once the request has been offered. */
    void onHolderFound(long nowNanos, Execution execution, RequestId holder) {
        if (execution.attempt == 0 && execution.state instanceof Waiting) {
            relay(nowNanos, execution, holder);
        }
    }

    /** Requests the outcome of the same key from another host. */
    private void relay(long nowNanos, Execution execution, RequestId holder) {
        EntryHost host = fleet.hosts().get(holder.host());
        execution.mayHaveRun = true;
        if (host == null || host.state() == EntryHost.State.DEAD) {
            awaitOrphan(nowNanos, execution);
            return;
        }
        execution.state = new Relaying(holder, nowNanos + nanos(RELAY_POLL_MILLIS));
        RequestKey key = execution.request.key();
        out.accept(
                new HostAction.SendRequest(
                        holder.host(), new RequestMessage.StatusRequested(key, Optional.empty())));
    }

    /** Waits to give the owners time to cancel the run that a dead host left on an engine. */
    private void awaitOrphan(long nowNanos, Execution execution) {
        execution.awaitsOrphan = true;
        waitUntil(execution, nowNanos + nanos(limits.orphanMillis()));
    }

    /** Handles the reported status of a key held by another host. */
    void onStatus(
            long nowNanos,
            Execution execution,
            HostId from,
            RequestMessage.StatusReported reported) {
        if (!(execution.state instanceof Relaying relaying)
                || !relaying.holder().host().equals(from)) {
            return;
        }
        switch (reported.status()) {
            case RequestStatus.Pending pending -> {}
            case RequestStatus.Unknown unknown -> runLocally(nowNanos, execution, true);
            case RequestStatus.Final end when end.outcome() instanceof Outcome.Answered answered ->
                    relayAnswer(nowNanos, execution, answered, reported.pieces());
            case RequestStatus.Final end ->
                    runLocally(nowNanos, execution, !(end.outcome() instanceof Outcome.NotRun));
        }
        timers.schedule(execution);
    }

    private void relayAnswer(
            long nowNanos, Execution execution, Outcome.Answered answered, List<Piece> pieces) {
        for (Piece piece : pieces) {
            streams.add(execution, piece, Integer.MAX_VALUE / 2);
        }
        if (execution.transcript.tokens() == answered.tokens()) {
            end(nowNanos, execution, answered);
            return;
        }
        runLocally(nowNanos, execution, true);
    }

    /** Runs a key on this host, as the other host has no usable outcome. */
    private void runLocally(long nowNanos, Execution execution, boolean mayHaveRunElsewhere) {
        execution.mayHaveRun = mayHaveRunElsewhere || execution.attempt > 0;
        waitUntil(execution, nowNanos);
    }

    /** Returns the number of executions in progress. */
    int size() {
        return byRequest.size();
    }

    /** Returns whether no execution is in progress and no run is being cancelled. */
    boolean isIdle() {
        return byRequest.isEmpty() && canceller.size() == 0;
    }

    /** Returns the executions in progress, oldest first. */
    Iterable<Execution> all() {
        return byRequest.values();
    }

    boolean hasCaller(RequestId caller) {
        return streams.contains(caller);
    }

    void onFleet(long nowNanos, FleetSnapshot changed) {
        fleet = changed;
        servers.onFleet(changed);
        for (Execution execution : List.copyOf(byRequest.values())) {
            switch (execution.state) {
                case Offering offering -> dropLostOwners(nowNanos, execution, offering);
                case Running running -> checkOwner(nowNanos, execution, running);
                case Relaying relaying -> relay(nowNanos, execution, relaying.holder());
                case Waiting waiting -> {}
                case Cancelling cancelling -> {}
            }
            timers.schedule(execution);
        }
        canceller.tick(nowNanos, fleet, this::isEndAwaited);
    }

    private void dropLostOwners(long nowNanos, Execution execution, Offering offering) {
        if (offers.dropLostOwners(nowNanos, fleet, execution, offering)) {
            allRefused(nowNanos, execution, offering);
        }
    }

    /** Ends the requests that wait and were never run; running requests continue. */
    void drain(long nowNanos) {
        draining = true;
        for (Execution execution : List.copyOf(byRequest.values())) {
            if (isWaiting(execution)) {
                end(nowNanos, execution, notRun(NotRunReason.DRAINING, 0));
            }
        }
    }

    /** Ends all remaining requests and cancels their runs, as this host is about to stop. */
    void endAll(long nowNanos) {
        for (Execution execution : List.copyOf(byRequest.values())) {
            log("give-up", execution, null, "drain-over");
            Outcome outcome =
                    execution.provedNotRun()
                            ? notRun(NotRunReason.DRAINING, 0)
                            : new Outcome.Failed(
                                    FailReason.RETRIES_SPENT, KeyedRequest.HOST_STOPPED);
            end(nowNanos, execution, outcome);
        }
    }

    /** Ends a request that was never run, to admit one of a higher tier. */
    void evict(long nowNanos, Execution execution, NotRunReason reason) {
        end(nowNanos, execution, notRun(reason, limits.backoffMaxMillis()));
    }

    /** Returns whether a request is waiting and was never run. */
    static boolean isWaiting(Execution execution) {
        boolean waiting = execution.state instanceof Offering || execution.state instanceof Waiting;
        return waiting && execution.provedNotRun();
    }

    void onCallerGone(long nowNanos, RequestId caller) {
        Execution execution = streams.remove(caller);
        if (execution == null) {
            return;
        }
        Outcome outcome =
                execution.provedNotRun()
                        ? notRun(NotRunReason.CALLER_GONE, 0)
                        : new Outcome.Failed(FailReason.CALLER_GONE, "the caller left");
        detachCaller(nowNanos, execution, caller, outcome);
    }

    void onCallerConsumed(RequestId caller, int tokens) {
        streams.onConsumed(caller, tokens);
    }

    void onGranted(long nowNanos, HostId from, RoutingMessage.Granted granted) {
        Execution execution = byRequest.get(granted.run().request());
        if (execution != null
                && execution.state instanceof Offering offering
                && offering.run.equals(granted.run())
                && offering.offers.containsKey(granted.server())) {
            place(nowNanos, execution, offering, granted.server(), from);
            timers.schedule(execution);
            return;
        }
        if (execution != null
                && execution.state instanceof Running running
                && running.run.equals(granted.run())
                && running.server.equals(granted.server())) {
            onRepeatedGrant(nowNanos, execution, running, granted);
            timers.schedule(execution);
            return;
        }
        withdraw(from, granted);
    }

    private void withdraw(HostId from, RoutingMessage.Granted granted) {
        out.accept(
                new HostAction.SendRouting(
                        from, new RoutingMessage.Withdrawn(granted.run(), granted.server())));
    }

    /**
     * Handles a second grant from a probed owner, which means that it does not have the run: the
     * body was lost, or the owner lost the run in a restart.
     */
    private void onRepeatedGrant(
            long nowNanos, Execution execution, Running running, RoutingMessage.Granted granted) {
        boolean probed = running.probeDelayNanos > nanos(limits.offerRepeatMillis());
        if (!probed) {
            return;
        }
        if (!running.tokensReceived && !running.bodyResent) {
            running.bodyResent = true;
            sendBody(execution, running);
            return;
        }
        withdraw(running.owner, granted);
        cancelAtEngine(nowNanos, execution, running, "owner-lost-run");
    }

    private void cancelAtEngine(
            long nowNanos, Execution execution, Running running, String reason) {
        log("resume", execution, running.server, reason);
        execution.state = new Cancelling(running.run, running.server);
        canceller.cancelAtEngine(nowNanos, fleet, running.run, running.server, running.owner);
    }

    private void sendBody(Execution execution, Running running) {
        int receivedTokens = execution.transcript.tokens();
        out.accept(
                new HostAction.SendRouting(
                        running.owner,
                        new RoutingMessage.Placed(
                                running.run,
                                running.server,
                                execution.request.body(),
                                receivedTokens,
                                execution.creditLimit - receivedTokens)));
    }

    private void place(
            long nowNanos, Execution execution, Offering offering, ServerId server, HostId owner) {
        offers.withdraw(offering, Optional.of(server));
        if (poison.isQuarantined(nowNanos, execution.request.fingerprint())) {
            offers.withdraw(offering, Optional.empty());
            end(nowNanos, execution, poisoned(execution));
            return;
        }
        int receivedTokens = execution.transcript.tokens();
        execution.transcript.dropOutOfOrder();
        execution.creditLimit =
                Math.max(receivedTokens, execution.consumedTokens() + limits.creditTokens());
        long incarnation =
                Optional.ofNullable(fleet.hosts().get(owner))
                        .map(EntryHost::incarnation)
                        .orElse(0L);
        Running running =
                new Running(offering.run, server, owner, incarnation, execution.mayHaveRun);
        Work.Generate work = (Work.Generate) execution.request.work();
        long prefillMillis =
                1_000L * (work.promptTokens() + receivedTokens) / MIN_PREFILL_TOKENS_PER_SECOND;
        running.silenceDeadlineNanos = nowNanos + nanos(2 * limits.silenceMillis() + prefillMillis);
        execution.state = running;
        execution.mayHaveRun = true;
        selector.placed(execution.request, server);
        log("place", execution, server, "granted");
        running.probeDelayNanos = nanos(limits.offerRepeatMillis());
        running.probeNanos = nowNanos + 2 * running.probeDelayNanos;
        sendBody(execution, running);
    }

    void onRefused(long nowNanos, Refused refused) {
        Execution execution = byRequest.get(refused.run().request());
        if (execution == null
                || !(execution.state instanceof Offering offering)
                || !offering.run.equals(refused.run())) {
            return;
        }
        if (offers.onRefused(nowNanos, execution, offering, refused)) {
            allRefused(nowNanos, execution, offering);
        }
        timers.schedule(execution);
    }

    private void allRefused(long nowNanos, Execution execution, Offering offering) {
        if (offering.ownerLost) {
            backOff(nowNanos, execution, 0);
            return;
        }
        if (OfferRounds.isShed(offering.refusals) && execution.provedNotRun()) {
            long waitMillis = OfferRounds.shortestWaitMillis(offering.refusals);
            long retryAfterMillis =
                    Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
            log("shed", execution, null, "every-owner-refused");
            end(nowNanos, execution, notRun(NotRunReason.OVERLOAD, retryAfterMillis));
            return;
        }
        boolean noServer =
                offering.refusals.stream()
                        .allMatch(r -> r.reason() == RoutingMessage.RefusalReason.NO_SERVER);
        if (noServer) {
            waitForServer(nowNanos, execution);
            return;
        }
        execution.noServerSinceNanos = 0;
        backOff(nowNanos, execution, Math.min(6, offering.run.attempt()));
    }

    void onTokens(long nowNanos, RoutingMessage.Tokens tokens) {
        Execution execution = byRequest.get(tokens.run().request());
        if (execution == null || !isCurrentRun(execution, tokens.run())) {
            return;
        }
        Piece piece = new Piece(tokens.firstToken(), tokens.count(), tokens.text());
        streams.add(execution, piece, limits.creditTokens());
        if (execution.state instanceof Running running) {
            running.silenceDeadlineNanos = nowNanos + nanos(limits.silenceMillis());
            running.tokensReceived = true;
            running.probeDelayNanos = nanos(limits.offerRepeatMillis());
            running.probeNanos = nowNanos + nanos(PROBE_INTERVAL_MILLIS);
            if (!execution.transcript.hasGap() && running.totalTokens.isEmpty()) {
                running.gapDeadlineNanos = Long.MAX_VALUE;
            } else if (running.gapDeadlineNanos == Long.MAX_VALUE) {
                running.gapDeadlineNanos = nowNanos + nanos(limits.gapMillis());
            }
            finishIfComplete(nowNanos, execution, running);
        }
        timers.schedule(execution);
    }

    private static boolean isCurrentRun(Execution execution, RunId run) {
        return switch (execution.state) {
            case Running running -> running.run.equals(run);
            case Cancelling cancelling -> cancelling.run().equals(run);
            case Offering offering -> false;
            case Waiting waiting -> false;
            case Relaying relaying -> false;
        };
    }

    private void finishIfComplete(long nowNanos, Execution execution, Running running) {
        int receivedTokens = execution.transcript.tokens();
        if (running.totalTokens.isEmpty() || receivedTokens < running.totalTokens.getAsInt()) {
            return;
        }
        retries.onSuccess();
        poison.succeeded(nowNanos, execution.request.fingerprint());
        selector.answered(execution.request, receivedTokens);
        end(nowNanos, execution, new Outcome.Answered(receivedTokens, Payload.EMPTY));
    }

    /**
     * Handles the end of a run, reported by its owner or by an engine that was contacted directly.
     */
    void onEnded(long nowNanos, RunId run, RunEnd end) {
        if (end instanceof RunEnd.Broken broken
                && !broken.confirmedEnded()
                && canceller.isPending(run)) {
            recordCancelledRunCrash(nowNanos, run, broken);
            return;
        }
        canceller.onEnd(run);
        Execution execution = byRequest.get(run.request());
        if (execution == null) {
            return;
        }
        switch (execution.state) {
            case Running running when running.run.equals(run) ->
                    runEnded(nowNanos, execution, running, end);
            case Cancelling cancelling when cancelling.run().equals(run) ->
                    cancelledRunEnded(nowNanos, execution, cancelling, end);
            default -> {}
        }
        timers.schedule(execution);
    }

    private void cancelledRunEnded(
            long nowNanos, Execution execution, Cancelling cancelling, RunEnd end) {
        if (end instanceof RunEnd.Finished finished
                && execution.transcript.tokens() >= finished.totalTokens()) {
            retries.onSuccess();
            end(nowNanos, execution, answered(execution));
            return;
        }
        if (end instanceof RunEnd.Broken broken) {
            recordCrash(nowNanos, execution, cancelling.server(), broken);
        }
        backOff(nowNanos, execution, execution.failures);
    }

    private void runEnded(long nowNanos, Execution execution, Running running, RunEnd end) {
        switch (end) {
            case RunEnd.Finished finished -> {
                running.totalTokens = OptionalInt.of(finished.totalTokens());
                running.gapDeadlineNanos = nowNanos + nanos(limits.gapMillis());
                running.silenceDeadlineNanos = Long.MAX_VALUE;
                running.probeNanos = Long.MAX_VALUE;
                finishIfComplete(nowNanos, execution, running);
            }
            case RunEnd.Preempted preempted -> {
                execution.preemptions++;
                log("resume", execution, running.server, "preempted");
                waitUntil(execution, nowNanos);
                offer(nowNanos, execution);
            }
            case RunEnd.NeverStarted neverStarted -> {
                // An earlier incarnation of the owner may have started the run from the first body.
                execution.mayHaveRun = running.ranBefore || running.bodyResent;
                backOff(nowNanos, execution, 0);
            }
            case RunEnd.Cancelled cancelled -> backOff(nowNanos, execution, 0);
            case RunEnd.EngineError error when running.bodyResent ->
                    cancelAtEngine(nowNanos, execution, running, "refused-second-body");
            case RunEnd.EngineError error -> {
                String detail = error.detail();
                boolean retry =
                        error.retryable() || servers.shouldRevertVersion(execution, running.server);
                Outcome failure =
                        error.retryable()
                                ? new Outcome.Failed(FailReason.BACKEND_ERROR, detail)
                                : new Outcome.Failed(FailReason.REFUSED, detail);
                onRunFailed(
                        nowNanos,
                        execution,
                        running.server,
                        () -> retry && retries.tryAcquire(),
                        failure);
            }
            case RunEnd.Broken broken -> {
                recordCrash(nowNanos, execution, running.server, broken);
                if (!broken.confirmedEnded()) {
                    execution.state = new Cancelling(running.run, running.server);
                    canceller.cancelAtEngine(
                            nowNanos, fleet, running.run, running.server, running.owner);
                    return;
                }
                // The owner cancelled the run: a begun stream goes on without using the retry
                // budget.
                boolean resumes = !broken.crashed() && execution.transcript.tokens() > 0;
                onRunFailed(
                        nowNanos,
                        execution,
                        running.server,
                        () -> resumes || retries.tryAcquire(),
                        retriesSpent());
            }
        }
    }

    private void recordCancelledRunCrash(long nowNanos, RunId run, RunEnd.Broken broken) {
        Execution execution = byRequest.get(run.request());
        if (execution != null && execution.state instanceof Cancelling cancelling) {
            recordCrash(nowNanos, execution, cancelling.server(), broken);
        }
    }

    private void recordCrash(
            long nowNanos, Execution execution, ServerId server, RunEnd.Broken broken) {
        if (!broken.crashed()) {
            return;
        }
        Optional<VersionId> version =
                Optional.ofNullable(fleet.servers().get(server)).map(BackendServer::version);
        poison.crashed(
                nowNanos,
                execution.request.fingerprint(),
                new Poison.Crash(server, execution.run(), version, nowNanos));
    }

    /**
     * Retries after a run that failed and has ended, if the failure limit and {@code mayRetry}
     * allow it.
     */
    private void onRunFailed(
            long nowNanos,
            Execution execution,
            ServerId server,
            BooleanSupplier mayRetry,
            Outcome failure) {
        execution.failures++;
        boolean versionChanged = servers.revertVersion(execution, server);
        boolean allowed = execution.failures < limits.maxFailures() && mayRetry.getAsBoolean();
        if (!allowed) {
            end(nowNanos, execution, failure);
            return;
        }
        log("retry", execution, server, versionChanged ? "old-version" : "run-failed");
        backOff(nowNanos, execution, execution.failures);
    }

    private void checkOwner(long nowNanos, Execution execution, Running running) {
        EntryHost owner = fleet.hosts().get(running.owner);
        boolean alive =
                owner != null
                        && owner.state() != EntryHost.State.DEAD
                        && owner.incarnation() == running.ownerIncarnation;
        if (alive || awaitsMissingPieces(running)) {
            return;
        }
        cancelAtEngine(nowNanos, execution, running, "owner-lost");
    }

    private static boolean awaitsMissingPieces(Running running) {
        return running.totalTokens.isPresent();
    }

    /** Returns whether a request waits for the end of a cancelled run. */
    private boolean isEndAwaited(RunId run) {
        Execution execution = byRequest.get(run.request());
        return execution != null
                && execution.state instanceof Cancelling cancelling
                && cancelling.run().equals(run);
    }

    /** Handles the timers that are due. */
    void tick(long nowNanos) {
        canceller.tick(nowNanos, fleet, this::isEndAwaited);
        for (Execution execution = timers.poll(nowNanos);
                execution != null;
                execution = timers.poll(nowNanos)) {
            onTimer(nowNanos, execution);
            timers.schedule(execution);
        }
    }

    private void onTimer(long nowNanos, Execution execution) {
        endExpiredCallers(nowNanos, execution);
        if (execution.closed) {
            return;
        }
        switch (execution.state) {
            case Waiting waiting -> {
                if (nowNanos >= waiting.untilNanos()) {
                    execution.pendingDirectoryHosts.clear();
                    offer(nowNanos, execution);
                }
            }
            case Offering offering -> offers.onTimer(nowNanos, execution, offering);
            case Running running -> onRunningTimer(nowNanos, execution, running);
            case Relaying relaying -> {
                if (nowNanos >= relaying.pollNanos()) {
                    relay(nowNanos, execution, relaying.holder());
                }
            }
            case Cancelling cancelling -> {}
        }
    }

    private void onRunningTimer(long nowNanos, Execution execution, Running running) {
        if (nowNanos < running.timerNanos()) {
            return;
        }
        boolean creditExhausted = execution.transcript.tokens() >= execution.creditLimit;
        if (nowNanos >= running.probeNanos && creditExhausted) {
            running.probeNanos = nowNanos + nanos(PROBE_INTERVAL_MILLIS);
        }
        if (nowNanos >= running.probeNanos) {
            running.probeDelayNanos *= 2;
            running.probeNanos = nowNanos + 2 * running.probeDelayNanos;
            offers.probe(nowNanos, execution, running);
            return;
        }
        if (awaitsMissingPieces(running)) {
            log("resume", execution, running.server, "pieces-lost");
            backOff(nowNanos, execution, 0);
            return;
        }
        if (creditExhausted && nowNanos < running.gapDeadlineNanos) {
            running.silenceDeadlineNanos = nowNanos + nanos(limits.silenceMillis());
            return;
        }
        log("resume", execution, running.server, "silent");
        execution.state = new Cancelling(running.run, running.server);
        canceller.cancelViaOwner(nowNanos, fleet, running.run, running.server, running.owner);
    }

    private void endExpiredCallers(long nowNanos, Execution execution) {
        for (Caller caller : execution.expiredCallers(nowNanos)) {
            Outcome outcome = deadlineOutcome(execution);
            streams.answer(caller.request.id(), outcome);
            detachCaller(nowNanos, execution, caller.request.id(), outcome);
        }
    }

    private static Outcome deadlineOutcome(Execution execution) {
        if (!execution.provedNotRun()) {
            return new Outcome.Failed(FailReason.DEADLINE, "the deadline passed");
        }
        if (execution.callers.size() > 1) {
            return new Outcome.InDoubt(KeyedRequest.SHARED_KEY);
        }
        return notRun(NotRunReason.DEADLINE, 0);
    }

    /** Removes a caller that has its outcome; the execution is closed with its last caller. */
    private void detachCaller(
            long nowNanos, Execution execution, RequestId caller, Outcome outcome) {
        execution.removeCaller(caller);
        if (execution.callers.isEmpty()) {
            close(nowNanos, execution, outcome);
            return;
        }
        streams.grantCredit(execution);
    }

    private void end(long nowNanos, Execution execution, Outcome outcome) {
        streams.answerAll(execution, outcome);
        close(nowNanos, execution, outcome);
    }

    private void close(long nowNanos, Execution execution, Outcome outcome) {
        switch (execution.state) {
            case Offering offering -> offers.withdraw(offering, Optional.empty());
            case Running running -> {
                if (!awaitsMissingPieces(running) && !(outcome instanceof Outcome.Answered)) {
                    canceller.cancelViaOwner(
                            nowNanos, fleet, running.run, running.server, running.owner);
                }
            }
            case Waiting waiting -> {}
            case Relaying relaying -> {}
            case Cancelling cancelling -> {}
        }
        execution.closed = true;
        byRequest.remove(execution.request.id());
        onClosed.closed(nowNanos, execution, outcome);
    }

    private void offer(long nowNanos, Execution execution) {
        Request request = execution.request;
        if (poison.isQuarantined(nowNanos, request.fingerprint())) {
            end(nowNanos, execution, poisoned(execution));
            return;
        }
        if (poison.isSuspect(nowNanos, request.fingerprint()) && isSameContentActive(execution)) {
            waitUntil(execution, nowNanos + nanos(SUSPECT_WAIT_MILLIS));
            return;
        }
        List<Choice> choices = servers.choose(nowNanos, execution);
        if (choices.isEmpty()) {
            waitForServer(nowNanos, execution);
            return;
        }
        offers.start(nowNanos, execution, choices);
    }

    private boolean isSameContentActive(Execution execution) {
        for (Execution other : byRequest.values()) {
            if (other != execution
                    && other.request.fingerprint().equals(execution.request.fingerprint())
                    && !(other.state instanceof Waiting)) {
                return true;
            }
        }
        return false;
    }

    private void waitForServer(long nowNanos, Execution execution) {
        if (execution.noServerSinceNanos == 0) {
            execution.noServerSinceNanos = Math.max(1, nowNanos);
        }
        boolean timedOut =
                nowNanos - execution.noServerSinceNanos >= nanos(limits.noServerMillis());
        if (timedOut && execution.provedNotRun()) {
            long retryAfterMillis = limits.noServerMillis();
            end(nowNanos, execution, notRun(NotRunReason.NO_SERVER, retryAfterMillis));
            return;
        }
        backOff(nowNanos, execution, 2);
    }

    /**
     * Backs off before the next offers for a random 50 to 100 percent of an exponentially growing
     * bound.
     */
    private void backOff(long nowNanos, Execution execution, int failures) {
        if (draining && execution.provedNotRun()) {
            end(nowNanos, execution, notRun(NotRunReason.DRAINING, 0));
            return;
        }
        long bound = Math.min(limits.backoffMaxMillis(), limits.backoffBaseMillis() << failures);
        long delay = (long) ((0.5 + 0.5 * random.nextDouble()) * nanos(bound));
        waitUntil(execution, nowNanos + delay);
    }

    private static void waitUntil(Execution execution, long untilNanos) {
        execution.state = new Waiting(untilNanos);
    }

    private void log(String kind, Execution execution, ServerId server, String reason) {
        out.accept(
                new HostAction.Log(
                        new Decision(
                                kind,
                                execution.run(),
                                execution.request.tier(),
                                Optional.ofNullable(server),
                                "",
                                reason)));
    }

    private static Outcome answered(Execution execution) {
        return new Outcome.Answered(execution.transcript.tokens(), Payload.EMPTY);
    }

    private static Outcome notRun(NotRunReason reason, long retryAfterMillis) {
        return new Outcome.NotRun(reason, retryAfterMillis);
    }

    private static Outcome retriesSpent() {
        return new Outcome.Failed(FailReason.RETRIES_SPENT, "the run broke off");
    }

    private static Outcome poisoned(Execution execution) {
        if (execution.provedNotRun()) {
            return notRun(NotRunReason.POISON, -1);
        }
        return new Outcome.Failed(FailReason.POISON, "the content crashed backend servers");
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

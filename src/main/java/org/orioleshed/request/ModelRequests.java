package org.orioleshed.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
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
import org.orioleshed.request.Execution.Ending;
import org.orioleshed.request.Execution.Offering;
import org.orioleshed.request.Execution.Relaying;
import org.orioleshed.request.Execution.Running;
import org.orioleshed.request.Execution.Waiting;
import org.orioleshed.request.Placement.Choice;
import org.orioleshed.request.RequestMessage.Piece;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RoutingMessage.Refused;
import org.orioleshed.routing.RunEnd;

/**
 * The model requests that this host accepted: offers to owners, the stream to the callers, retries,
 * and the one outcome.
 */
final class ModelRequests {
    /** The slowest prefill that counts as a sign of life, in tokens per second. */
    private static final int SLOWEST_PREFILL = 500;

    /** How long a suspect waits while the same content runs. */
    private static final long SUSPECT_WAIT_MILLIS = 200;

    /** How long a stream may pause before its owner is asked whether it has the run. */
    private static final long PROBE_MILLIS = 2_000;

    /** How often the host that runs a key is asked for its outcome. */
    private static final long RELAY_MILLIS = 100;

    /** The bounds of the advice when to send again, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private final RequestLimits limits;
    private final RandomGenerator random;
    private final ServerChoices servers;
    private final CallerStreams streams;
    private final Placement placement;
    private final PoisonWatch poison;
    private final RetryBudget retries;
    private final RunCanceller canceller;
    private final OfferRounds offers;
    private final Wakes<Execution> wakes = new Wakes<>();
    private final Consumer<HostAction> out;
    private final Closed onClosed;
    private final Map<RequestId, Execution> byRequest = new LinkedHashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private boolean draining;

    /** Hears of executions that are over. */
    interface Closed {
        void closed(long nowNanos, Execution execution, Outcome outcome);
    }

    ModelRequests(
            RequestLimits limits,
            RandomGenerator random,
            Placement placement,
            PoisonWatch poison,
            Consumer<HostAction> out,
            Closed onClosed) {
        this.limits = limits;
        this.random = random;
        this.servers = new ServerChoices(random, placement, poison, limits.offersAtOnce());
        this.streams = new CallerStreams(limits, out);
        this.placement = placement;
        this.poison = poison;
        this.out = out;
        this.onClosed = onClosed;
        this.retries = new RetryBudget(limits.retryShare(), limits.retryBurst());
        this.canceller = new RunCanceller(limits.cancelRepeatMillis(), out);
        this.offers = new OfferRounds(limits, placement, out);
    }

    /**
     * Starts a request whose key does not run on this host.
     *
     * @param onOpened enters the key; notes the hosts of the directory that are asked
     */
    void start(long nowNanos, Request request, Consumer<Execution> onOpened) {
        Execution execution = new Execution(request, new Waiting(nowNanos));
        execution.version = servers.draw(request.route());
        byRequest.put(request.id(), execution);
        streams.add(execution, request);
        onOpened.accept(execution);
        if (execution.state instanceof Relaying || execution.awaitsOrphan) {
            execution.asked.clear();
        } else if (!execution.asked.isEmpty()) {
            waitUntil(execution, nowNanos + nanos(limits.directoryMillis()));
        } else {
            offer(nowNanos, execution);
        }
        wakes.schedule(execution);
    }

    /** Lets a resend of the key share a running execution. */
    void join(Execution execution, Request request) {
        streams.add(execution, request);
        wakes.schedule(execution);
    }

    /** Hears from a host of the key's directory who else runs it. */
    void onHolder(long nowNanos, Execution execution, HostId from, Optional<RequestId> holder) {
        if (!execution.asked.remove(from)) {
            return;
        }
        if (holder.isPresent()) {
            execution.asked.clear();
            relay(nowNanos, execution, holder.get());
        } else if (execution.asked.isEmpty()) {
            offer(nowNanos, execution);
        }
        wakes.schedule(execution);
    }

    /** Learns, before it offers, that another host holds the key; later it is too late. */
    void foundHolder(long nowNanos, Execution execution, RequestId holder) {
        if (execution.attempt == 0 && execution.state instanceof Waiting) {
            relay(nowNanos, execution, holder);
        }
    }

    /** Waits for the outcome of the same key on another host. */
    private void relay(long nowNanos, Execution execution, RequestId holder) {
        EntryHost host = fleet.hosts().get(holder.host());
        execution.mayHaveRun = true;
        if (host == null || host.state() == EntryHost.State.DEAD) {
            awaitOrphan(nowNanos, execution);
            return;
        }
        execution.state = new Relaying(holder, nowNanos + nanos(RELAY_MILLIS));
        RequestKey key = execution.request.key();
        out.accept(
                new HostAction.SendRequest(
                        holder.host(), new RequestMessage.StatusRequested(key, Optional.empty())));
    }

    /** Gives the owners time to cancel the run that a dead host left on an engine. */
    private void awaitOrphan(long nowNanos, Execution execution) {
        execution.awaitsOrphan = true;
        waitUntil(execution, nowNanos + nanos(limits.orphanMillis()));
    }

    /** Hears the request status of a key that runs on another host. */
    void onStatus(
            long nowNanos, Execution execution, HostId from, RequestMessage.StatusReported told) {
        if (!(execution.state instanceof Relaying relaying)
                || !relaying.holder().host().equals(from)) {
            return;
        }
        switch (told.status()) {
            case RequestStatus.Pending pending -> {}
            case RequestStatus.Unknown unknown -> runAfterAll(nowNanos, execution, true);
            case RequestStatus.Final end when end.outcome() instanceof Outcome.Answered answered ->
                    relayAnswer(nowNanos, execution, answered, told.pieces());
            case RequestStatus.Final end ->
                    runAfterAll(nowNanos, execution, !(end.outcome() instanceof Outcome.NotRun));
        }
        wakes.schedule(execution);
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
        runAfterAll(nowNanos, execution, true);
    }

    /** Runs a key here, as it no longer runs elsewhere. */
    private void runAfterAll(long nowNanos, Execution execution, boolean mayHaveRunThere) {
        execution.mayHaveRun = mayHaveRunThere || execution.attempt > 0;
        waitUntil(execution, nowNanos);
    }

    /** Returns the number of executions under way. */
    int size() {
        return byRequest.size();
    }

    /** Returns whether nothing is left to finish or to cancel. */
    boolean isIdle() {
        return byRequest.isEmpty() && canceller.size() == 0;
    }

    /** Returns the executions under way, oldest first. */
    Iterable<Execution> all() {
        return byRequest.values();
    }

    boolean knowsCaller(RequestId caller) {
        return streams.knows(caller);
    }

    void onFleet(long nowNanos, FleetSnapshot changed) {
        fleet = changed;
        servers.onFleet(changed);
        for (Execution execution : List.copyOf(byRequest.values())) {
            switch (execution.state) {
                case Offering offering ->
                        offers.dropLostOwners(nowNanos, fleet, execution, offering);
                case Running running -> checkOwner(nowNanos, execution, running);
                case Relaying relaying -> relay(nowNanos, execution, relaying.holder());
                case Waiting waiting -> {}
                case Ending ending -> {}
            }
            wakes.schedule(execution);
        }
        canceller.tick(nowNanos, fleet);
    }

    /** Answers what waits; what runs goes on. */
    void drain(long nowNanos) {
        draining = true;
        for (Execution execution : List.copyOf(byRequest.values())) {
            if (isWaiting(execution)) {
                end(nowNanos, execution, notRun(NotRunReason.DRAINING, 0));
            }
        }
    }

    /** Answers all that is left and cancels its runs: this host won't be there to read on. */
    void giveUp(long nowNanos) {
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

    /** Ends a request that was never run, for the sake of a more urgent one. */
    void evict(long nowNanos, Execution execution, NotRunReason reason) {
        end(nowNanos, execution, notRun(reason, limits.backoffMaxMillis()));
    }

    /** Returns whether a request waits and was never run. */
    static boolean isWaiting(Execution execution) {
        boolean waits = execution.state instanceof Offering || execution.state instanceof Waiting;
        return waits && execution.provedNotRun();
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
        dismiss(nowNanos, execution, caller, outcome);
    }

    void onCallerConsumed(RequestId caller, int tokens) {
        streams.took(caller, tokens);
    }

    void onGranted(long nowNanos, HostId from, RoutingMessage.Granted granted) {
        Execution execution = byRequest.get(granted.run().request());
        if (execution != null
                && execution.state instanceof Offering offering
                && offering.run.equals(granted.run())
                && offering.offers.containsKey(granted.server())) {
            place(nowNanos, execution, offering, granted.server(), from);
            wakes.schedule(execution);
            return;
        }
        if (execution != null
                && execution.state instanceof Running running
                && running.run.equals(granted.run())
                && running.server.equals(granted.server())) {
            placeAgain(nowNanos, execution, running, granted);
            wakes.schedule(execution);
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
     * An owner that was asked grants a place once more, so it does not have the run: it never got
     * the body, or forgot the run in a restart.
     */
    private void placeAgain(
            long nowNanos, Execution execution, Running running, RoutingMessage.Granted granted) {
        boolean asked = running.probeDelayNanos > nanos(limits.offerRepeatMillis());
        if (!asked) {
            return;
        }
        if (!running.heard && !running.placedAgain) {
            running.placedAgain = true;
            sendBody(execution, running);
            return;
        }
        withdraw(running.owner, granted);
        cancelAtEngine(nowNanos, execution, running, "home-forgot");
    }

    private void cancelAtEngine(
            long nowNanos, Execution execution, Running running, String reason) {
        log("resume", execution, running.server, reason);
        execution.state = new Ending(running.run, running.server);
        canceller.atEngine(nowNanos, fleet, running.run, running.server, running.owner);
    }

    private void sendBody(Execution execution, Running running) {
        int known = execution.transcript.tokens();
        out.accept(
                new HostAction.SendRouting(
                        running.owner,
                        new RoutingMessage.Placed(
                                running.run,
                                running.server,
                                execution.request.body(),
                                known,
                                execution.creditLimit - known)));
    }

    private void place(
            long nowNanos, Execution execution, Offering offering, ServerId server, HostId owner) {
        offers.withdraw(offering, Optional.of(server));
        if (poison.isQuarantined(nowNanos, execution.request.fingerprint())) {
            offers.withdraw(offering, Optional.empty());
            end(nowNanos, execution, poisoned(execution));
            return;
        }
        int known = execution.transcript.tokens();
        execution.transcript.dropAhead();
        execution.creditLimit = Math.max(known, execution.takenTokens() + limits.creditTokens());
        long incarnation =
                Optional.ofNullable(fleet.hosts().get(owner))
                        .map(EntryHost::incarnation)
                        .orElse(0L);
        Running running =
                new Running(offering.run, server, owner, incarnation, execution.mayHaveRun);
        Work.Generate work = (Work.Generate) execution.request.work();
        long prefillMillis = 1_000L * (work.promptTokens() + known) / SLOWEST_PREFILL;
        running.silentAtNanos = nowNanos + nanos(2 * limits.silenceMillis() + prefillMillis);
        execution.state = running;
        execution.mayHaveRun = true;
        placement.placed(execution.request, server);
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
        if (offers.refuse(nowNanos, execution, offering, refused)) {
            allRefused(nowNanos, execution, offering);
        }
        wakes.schedule(execution);
    }

    private void allRefused(long nowNanos, Execution execution, Offering offering) {
        if (OfferRounds.shed(offering.refusals) && execution.provedNotRun()) {
            long wait = OfferRounds.shortestWaitMillis(offering.refusals);
            long retryAfter = Math.clamp(wait, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
            log("shed", execution, null, "every-home-refused");
            end(nowNanos, execution, notRun(NotRunReason.OVERLOAD, retryAfter));
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
            running.silentAtNanos = nowNanos + nanos(limits.silenceMillis());
            running.heard = true;
            running.probeDelayNanos = nanos(limits.offerRepeatMillis());
            running.probeNanos = nowNanos + nanos(PROBE_MILLIS);
            if (!execution.transcript.hasGap() && running.totalTokens.isEmpty()) {
                running.gapEndsNanos = Long.MAX_VALUE;
            } else if (running.gapEndsNanos == Long.MAX_VALUE) {
                running.gapEndsNanos = nowNanos + nanos(limits.gapMillis());
            }
            finishIfWhole(nowNanos, execution, running);
        }
        wakes.schedule(execution);
    }

    private static boolean isCurrentRun(Execution execution, RunId run) {
        return switch (execution.state) {
            case Running running -> running.run.equals(run);
            case Ending ending -> ending.run().equals(run);
            case Offering offering -> false;
            case Waiting waiting -> false;
            case Relaying relaying -> false;
        };
    }

    private void finishIfWhole(long nowNanos, Execution execution, Running running) {
        int known = execution.transcript.tokens();
        if (running.totalTokens.isEmpty() || known < running.totalTokens.getAsInt()) {
            return;
        }
        retries.onSuccess();
        poison.succeeded(nowNanos, execution.request.fingerprint());
        placement.answered(execution.request, known);
        end(nowNanos, execution, new Outcome.Answered(known, Payload.EMPTY));
    }

    /** Takes the end of a run from its owner, or from an engine that was asked directly. */
    void onEnded(long nowNanos, RunId run, RunEnd end) {
        if (end instanceof RunEnd.Broken broken
                && !broken.confirmedEnded()
                && canceller.isPending(run)) {
            noteCrash(nowNanos, run, broken);
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
            case Ending ending when ending.run().equals(run) ->
                    endingEnded(nowNanos, execution, ending, end);
            default -> {}
        }
        wakes.schedule(execution);
    }

    private void endingEnded(long nowNanos, Execution execution, Ending ending, RunEnd end) {
        if (end instanceof RunEnd.Finished finished
                && execution.transcript.tokens() >= finished.totalTokens()) {
            retries.onSuccess();
            end(nowNanos, execution, answered(execution));
            return;
        }
        if (end instanceof RunEnd.Broken broken) {
            crash(nowNanos, execution, ending.server(), broken);
        }
        backOff(nowNanos, execution, execution.failures);
    }

    private void runEnded(long nowNanos, Execution execution, Running running, RunEnd end) {
        switch (end) {
            case RunEnd.Finished finished -> {
                running.totalTokens = OptionalInt.of(finished.totalTokens());
                running.gapEndsNanos = nowNanos + nanos(limits.gapMillis());
                running.silentAtNanos = Long.MAX_VALUE;
                running.probeNanos = Long.MAX_VALUE;
                finishIfWhole(nowNanos, execution, running);
            }
            case RunEnd.Preempted preempted -> {
                execution.preemptions++;
                log("resume", execution, running.server, "preempted");
                waitUntil(execution, nowNanos);
                offer(nowNanos, execution);
            }
            case RunEnd.NeverStarted never -> {
                // The first body may have been started by an earlier incarnation of the owner.
                execution.mayHaveRun = running.ranBefore || running.placedAgain;
                backOff(nowNanos, execution, 0);
            }
            case RunEnd.Cancelled cancelled -> backOff(nowNanos, execution, 0);
            case RunEnd.EngineError error when running.placedAgain ->
                    cancelAtEngine(nowNanos, execution, running, "refused-second-body");
            case RunEnd.EngineError error -> {
                String detail = error.detail();
                boolean retry =
                        error.retryable() || servers.leavesNewVersion(execution, running.server);
                Outcome failure =
                        error.retryable()
                                ? new Outcome.Failed(FailReason.BACKEND_ERROR, detail)
                                : new Outcome.Failed(FailReason.REFUSED, detail);
                failed(nowNanos, execution, running.server, retry, failure);
            }
            case RunEnd.Broken broken -> {
                crash(nowNanos, execution, running.server, broken);
                if (!broken.confirmedEnded()) {
                    execution.state = new Ending(running.run, running.server);
                    canceller.atEngine(nowNanos, fleet, running.run, running.server, running.owner);
                    return;
                }
                failed(nowNanos, execution, running.server, true, spent());
            }
        }
    }

    private void noteCrash(long nowNanos, RunId run, RunEnd.Broken broken) {
        Execution execution = byRequest.get(run.request());
        if (execution != null && execution.state instanceof Ending ending) {
            crash(nowNanos, execution, ending.server(), broken);
        }
    }

    private void crash(long nowNanos, Execution execution, ServerId server, RunEnd.Broken broken) {
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

    /** Tries again after a run that failed and is over, if the budget and the caller allow. */
    private void failed(
            long nowNanos, Execution execution, ServerId server, boolean retry, Outcome failure) {
        execution.failures++;
        boolean changes = servers.leaveNewVersion(execution, server);
        boolean allowed = retry && execution.failures < limits.maxFailures() && retries.take();
        if (!allowed) {
            end(nowNanos, execution, failure);
            return;
        }
        log("retry", execution, server, changes ? "old-version" : "run-failed");
        backOff(nowNanos, execution, execution.failures);
    }

    private void checkOwner(long nowNanos, Execution execution, Running running) {
        EntryHost owner = fleet.hosts().get(running.owner);
        boolean alive =
                owner != null
                        && owner.state() != EntryHost.State.DEAD
                        && owner.incarnation() == running.ownerIncarnation;
        if (alive || finishedAwaitingPieces(running)) {
            return;
        }
        cancelAtEngine(nowNanos, execution, running, "home-lost");
    }

    private static boolean finishedAwaitingPieces(Running running) {
        return running.totalTokens.isPresent();
    }

    /** Does what time asks for. */
    void tick(long nowNanos) {
        canceller.tick(nowNanos, fleet);
        for (Execution execution = wakes.poll(nowNanos);
                execution != null;
                execution = wakes.poll(nowNanos)) {
            wake(nowNanos, execution);
            wakes.schedule(execution);
        }
    }

    private void wake(long nowNanos, Execution execution) {
        endLateCallers(nowNanos, execution);
        if (execution.closed) {
            return;
        }
        switch (execution.state) {
            case Waiting waiting -> {
                if (nowNanos >= waiting.untilNanos()) {
                    execution.asked.clear();
                    offer(nowNanos, execution);
                }
            }
            case Offering offering -> offers.wake(nowNanos, execution, offering);
            case Running running -> wakeRunning(nowNanos, execution, running);
            case Relaying relaying -> {
                if (nowNanos >= relaying.askAgainNanos()) {
                    relay(nowNanos, execution, relaying.holder());
                }
            }
            case Ending ending -> {}
        }
    }

    private void wakeRunning(long nowNanos, Execution execution, Running running) {
        if (nowNanos < running.wakeNanos()) {
            return;
        }
        boolean callerIsSlow = execution.transcript.tokens() >= execution.creditLimit;
        if (nowNanos >= running.probeNanos && callerIsSlow) {
            running.probeNanos = nowNanos + nanos(PROBE_MILLIS);
        }
        if (nowNanos >= running.probeNanos) {
            running.probeDelayNanos *= 2;
            running.probeNanos = nowNanos + 2 * running.probeDelayNanos;
            offers.probe(nowNanos, execution, running);
            return;
        }
        if (finishedAwaitingPieces(running)) {
            log("resume", execution, running.server, "pieces-lost");
            backOff(nowNanos, execution, 0);
            return;
        }
        if (callerIsSlow && nowNanos < running.gapEndsNanos) {
            running.silentAtNanos = nowNanos + nanos(limits.silenceMillis());
            return;
        }
        log("resume", execution, running.server, "silent");
        execution.state = new Ending(running.run, running.server);
        canceller.viaOwner(nowNanos, fleet, running.run, running.server, running.owner);
    }

    private void endLateCallers(long nowNanos, Execution execution) {
        for (Caller caller : execution.lateCallers(nowNanos)) {
            Outcome outcome = lateOutcome(execution);
            streams.answer(caller.request.id(), outcome);
            dismiss(nowNanos, execution, caller.request.id(), outcome);
        }
    }

    private static Outcome lateOutcome(Execution execution) {
        if (!execution.provedNotRun()) {
            return new Outcome.Failed(FailReason.DEADLINE, "the deadline passed");
        }
        if (execution.callers.size() > 1) {
            return new Outcome.InDoubt(KeyedRequest.SHARED_KEY);
        }
        return notRun(NotRunReason.DEADLINE, 0);
    }

    /** Forgets a caller who needs nothing more; the last one takes the execution along. */
    private void dismiss(long nowNanos, Execution execution, RequestId caller, Outcome outcome) {
        execution.removeCaller(caller);
        if (execution.callers.isEmpty()) {
            close(nowNanos, execution, outcome);
            return;
        }
        streams.giveCredit(execution);
    }

    private void end(long nowNanos, Execution execution, Outcome outcome) {
        streams.answerAll(execution, outcome);
        close(nowNanos, execution, outcome);
    }

    private void close(long nowNanos, Execution execution, Outcome outcome) {
        switch (execution.state) {
            case Offering offering -> offers.withdraw(offering, Optional.empty());
            case Running running -> {
                if (!finishedAwaitingPieces(running) && !(outcome instanceof Outcome.Answered)) {
                    canceller.viaOwner(nowNanos, fleet, running.run, running.server, running.owner);
                }
            }
            case Waiting waiting -> {}
            case Relaying relaying -> {}
            case Ending ending -> {}
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
        if (poison.isSuspect(nowNanos, request.fingerprint()) && sameContentRuns(execution)) {
            waitUntil(execution, nowNanos + nanos(SUSPECT_WAIT_MILLIS));
            return;
        }
        List<Choice> choices = servers.choose(nowNanos, execution);
        if (choices.isEmpty()) {
            waitForServer(nowNanos, execution);
            return;
        }
        offers.begin(nowNanos, execution, choices);
    }

    private boolean sameContentRuns(Execution execution) {
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
        boolean waited = nowNanos - execution.noServerSinceNanos >= nanos(limits.noServerMillis());
        if (waited && execution.provedNotRun()) {
            long retryAfter = limits.noServerMillis();
            end(nowNanos, execution, notRun(NotRunReason.NO_SERVER, retryAfter));
            return;
        }
        backOff(nowNanos, execution, 2);
    }

    /** Waits for an even share of an exponentially growing bound before the next offers. */
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

    private static Outcome spent() {
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

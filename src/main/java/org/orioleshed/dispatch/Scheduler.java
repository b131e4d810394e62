package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.StateMachine;

/**
 * The primary of pools: one queue for each pool, ordered by urgency, before servers that get no
 * more at once than they can run. Everything that hosts see of the servers comes here, so no two
 * requests are sent to the same idle place.
 */
public final class Scheduler implements StateMachine<DispatchEvent, DispatchAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** When no server of a pool is known, one may come within this time. */
    private static final long NO_SERVER_RETRY_MILLIS = 700;

    /** Waiters behind one that no server may take are looked at up to this many. */
    private static final int LOOK_AHEAD = 32;

    /** A run of which nothing was heard for this long after its deadline is forgotten. */
    private static final long FORGET_MILLIS = 1_500;

    /** Hosts tell a primary that begins what they know within this time. */
    private static final long REPORT_WINDOW_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long FORGET_PERIOD_NANOS = 200 * NANOS_PER_MILLI;

    private final Map<ServiceId, PoolState> pools = new HashMap<>();
    private final Map<RunKey, ServerState> runs = new HashMap<>();
    private final CrashTracker crashes = new CrashTracker();
    private final Set<HostId> crashesReportedBy = new HashSet<>();
    private final Quotas quotas;
    private final ServerRates rates;
    private final RolloutPolicy rolloutPolicy;
    private List<DispatchAction> actions = new ArrayList<>();
    private double placeShare = 1;
    private long order;
    private long nowNanos;
    private long beganNanos;
    private boolean began;
    private long forgotNanos = Long.MIN_VALUE / 2;

    /**
     * Makes a scheduler without servers.
     *
     * @param firstFill the part of each quota that may be used at once, from 0 to 1
     * @param slack what may be used beyond quotas
     * @param role whether it gives out quotas as the primary or in its place
     * @param rolloutPolicy what a bad version may cost
     */
    public Scheduler(
            double firstFill, Quotas.Slack slack, Quotas.Role role, RolloutPolicy rolloutPolicy) {
        this.rolloutPolicy = rolloutPolicy;
        this.quotas = new Quotas(firstFill, slack, role);
        this.rates = new ServerRates(role);
    }

    @Override
    public List<DispatchAction> on(long now, DispatchEvent event) {
        nowNanos = now;
        if (!began) {
            began = true;
            beganNanos = now;
        }
        actions = new ArrayList<>();
        switch (event) {
            case DispatchEvent.PlacementRequested requested ->
                    admit(requested.run(), requested.request());
            case DispatchEvent.Withdrawn withdrawn -> withdraw(withdrawn.run());
            case DispatchEvent.Placed placed -> placed(placed);
            case DispatchEvent.First first -> first(first);
            case DispatchEvent.Ended ended -> end(ended.run(), ended.report());
            case DispatchEvent.CrashesReported reported -> applyReport(reported);
            case DispatchEvent.RolloutReported reported -> applyReport(reported);
            case DispatchEvent.HostGone gone -> forget(gone.host());
            case DispatchEvent.ServersChanged changed -> take(changed.servers());
            case DispatchEvent.ServerLeaving leaving -> leave(leaving);
            case DispatchEvent.ServerLimited limited ->
                    rates.reported(
                            limited.server(),
                            limited.startMillis(),
                            limited.limit().perSecond(),
                            nowNanos);
            case DispatchEvent.LimitsChanged changed -> limit(changed);
            case DispatchEvent.ShareChanged changed -> share(changed);
            case DispatchEvent.QuotasHanded handed -> quotas.takeOver(handed.parts());
            case DispatchEvent.RolloutOrdered ordered -> order(ordered);
            case DispatchEvent.RolloutSettled settled -> settle(settled);
            case DispatchEvent.Tick tick -> tick();
        }
        return actions;
    }

    /** Stops giving out what has gathered of quotas, and returns that for the next scheduler. */
    public DispatchEvent.QuotasHanded handOverQuotas(long now) {
        return new DispatchEvent.QuotasHanded(quotas.handOver(now));
    }

    /** Returns how many requests wait, over all pools. */
    public int waiting() {
        return pools.values().stream().mapToInt(PoolState::waiting).sum();
    }

    /** Returns how many runs are known, over all pools. */
    public int running() {
        return runs.size();
    }

    private PoolState pool(ServiceId service) {
        return pools.computeIfAbsent(service, key -> new PoolState());
    }

    private void admit(RunKey run, PlacementRequest request) {
        PoolState pool = pool(request.service());
        if (repeats(run, pool)) {
            return;
        }
        if (crashes.isHeld(request.content(), nowNanos)) {
            refuse(run, request, Reason.HELD, (double) request.deadlineLeftMillis());
            return;
        }
        if (!quotas.take(request, nowNanos)) {
            refuse(run, request, Reason.QUOTA, (double) quotas.millisUntil(request));
            return;
        }
        if (request.excluded().containsAll(pool.servers().ids())) {
            turnAway(run, request, Reason.NO_SERVER, (double) NO_SERVER_RETRY_MILLIS);
            return;
        }
        Placement placement = new Placement(pool, rates, placeShare, nowNanos);
        if (isNext(pool, request) && grant(pool, placement, run, request)) {
            return;
        }
        double places = placement.usablePlaces(pool.busyMillis(request));
        AdmissionRule admission = new AdmissionRule(pool, places, nowNanos);
        if (!admission.mayWait(request)) {
            turnAway(run, request, Reason.OVERLOAD, admission.waitMillis(request.rank()));
            return;
        }
        pool.add(new QueuedRequest(run, request, nowNanos, order++));
        actions.add(new DispatchAction.Queued(run));
    }

    /** Answers a repeated request again, since the first answer may be lost. */
    private boolean repeats(RunKey run, PoolState pool) {
        ServerState server = runs.get(run);
        if (server != null) {
            actions.add(new DispatchAction.Grant(run, server.server().id(), "again"));
            return true;
        }
        if (pool.isWaiting(run)) {
            actions.add(new DispatchAction.Queued(run));
            return true;
        }
        return false;
    }

    /** Returns whether nobody of the same or a more urgent rank waits. */
    private static boolean isNext(PoolState pool, PlacementRequest request) {
        return pool.waiters().stream()
                .noneMatch(waiter -> waiter.request().rank() <= request.rank());
    }

    private boolean grant(
            PoolState pool, Placement placement, RunKey run, PlacementRequest request) {
        Optional<ServerState> chosen = placement.choose(request);
        if (chosen.isEmpty()) {
            return false;
        }
        ServerState server = chosen.get();
        String why =
                "running=%d pending_tokens=%d score_ms=%.0f faults=%.2f waiting=%d"
                        .formatted(
                                server.running(),
                                server.pendingTokens(),
                                placement.score(server, request),
                                server.faultRate(nowNanos),
                                pool.waiting());
        String limit =
                rates.of(server.server())
                        .map(rate -> " limit_per_second=%.2f".formatted(rate.perSecond()))
                        .orElse("");
        start(server, run, request);
        actions.add(new DispatchAction.Grant(run, server.server().id(), why + limit));
        return true;
    }

    private void start(ServerState server, RunKey run, PlacementRequest request) {
        boolean engine = request.promptTokens() > 0;
        long reading = engine ? server.pendingTokens() + request.promptTokens() : 0;
        server.start(run, new Running(request, nowNanos, reading, true));
        runs.put(run, server);
        rates.of(server.server()).ifPresent(rate -> rate.sent(nowNanos));
        PoolState pool = pool(request.service());
        pool.load().add(request.rank(), pool.busyMillis(request), nowNanos);
        pool.rollout().ifPresent(rollout -> rollout.sent(server.server(), request.route()));
    }

    /** Refuses what had taken of its quota. */
    private void turnAway(
            RunKey run, PlacementRequest request, Reason reason, double betterMillis) {
        quotas.giveBack(request);
        refuse(run, request, reason, betterMillis);
    }

    private void refuse(RunKey run, PlacementRequest request, Reason reason, double betterMillis) {
        long retryAfterMillis = AdmissionRule.retryAfterMillis(request, betterMillis);
        actions.add(new DispatchAction.Refuse(run, reason, retryAfterMillis));
    }

    private void withdraw(RunKey run) {
        for (PoolState pool : pools.values()) {
            Optional<QueuedRequest> waiter = pool.remove(run);
            if (waiter.isPresent()) {
                quotas.giveBack(waiter.get().request());
                return;
            }
        }
        end(run, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
    }

    private void placed(DispatchEvent.Placed placed) {
        PoolState pool = pool(placed.request().service());
        pool.remove(placed.run());
        if (runs.containsKey(placed.run())) {
            return;
        }
        quotas.charge(placed.request());
        pool.servers()
                .get(placed.server())
                .ifPresent(server -> start(server, placed.run(), placed.request()));
    }

    private void first(DispatchEvent.First first) {
        ServerState server = runs.get(first.run());
        if (server == null) {
            return;
        }
        stated(server, first.run(), first.limit());
        PoolState pool = pool(server.server().service());
        pool.firstInRollout(server, first.run(), first.firstMillis());
        server.first(first.run(), first.firstMillis(), pool.speed(), nowNanos);
    }

    private void stated(ServerState server, RunKey run, StatedLimit limit) {
        Running running = server.runs().get(run);
        if (running != null) {
            rates.stated(server.server(), limit, running.sentNanos(), nowNanos);
        }
    }

    private void end(RunKey run, RunReport report) {
        ServerState server = runs.remove(run);
        if (server == null) {
            return;
        }
        PoolState pool = pool(server.server().service());
        stated(server, run, report.limit());
        watchCrashes(server, run, report.outcome());
        pool.endInRollout(server, run, report);
        server.end(run, report, pool.speed(), nowNanos);
        serve(pool);
    }

    private void watchCrashes(ServerState server, RunKey run, RunReport.Outcome outcome) {
        Running running = server.runs().get(run);
        if (running == null) {
            return;
        }
        ServerId id = server.server().id();
        long content = running.request().content();
        switch (outcome) {
            case BROKEN -> crashes.broke(id, content, nowNanos);
            case UNREACHABLE -> crashes.missed(id, nowNanos);
            case ANSWERED -> crashes.answered(content, nowNanos);
            case CANCELLED, FAILED, REJECTED, TIMED_OUT, MISDIRECTED -> {}
        }
    }

    private void forget(HostId host) {
        List<RunKey> gone =
                runs.keySet().stream().filter(run -> run.origin().equals(host)).toList();
        for (RunKey run : gone) {
            end(run, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
        }
        for (PoolState pool : pools.values()) {
            List<QueuedRequest> waiters =
                    pool.waiters().stream()
                            .filter(waiter -> waiter.run().origin().equals(host))
                            .toList();
            waiters.forEach(waiter -> pool.remove(waiter.run()));
        }
    }

    private void take(List<PoolServer> servers) {
        Set<ServerId> present = new HashSet<>();
        for (PoolServer server : servers) {
            present.add(server.id());
            put(server);
        }
        for (PoolState pool : pools.values()) {
            pool.servers().retain(present).forEach(server -> crashes.missed(server, nowNanos));
        }
        pools.values().forEach(this::serve);
    }

    private void leave(DispatchEvent.ServerLeaving leaving) {
        for (PoolState pool : pools.values()) {
            pool.servers()
                    .get(leaving.server())
                    .filter(server -> server.server().startMillis() == leaving.startMillis())
                    .ifPresent(ServerState::leave);
        }
    }

    private void put(PoolServer server) {
        PoolState pool = pool(server.service());
        for (PoolState other : pools.values()) {
            if (other != pool) {
                other.servers().forget(server.id());
            }
        }
        if (pool.servers().put(server, nowNanos)) {
            crashes.missed(server.id(), nowNanos);
        }
    }

    private void limit(DispatchEvent.LimitsChanged changed) {
        changed.pools().forEach((service, pool) -> pool(service).declare(pool));
        quotas.limit(changed.quotas(), nowNanos);
    }

    private void share(DispatchEvent.ShareChanged changed) {
        placeShare = changed.places();
        quotas.share(changed.quota(), nowNanos);
        rates.share(changed.quota(), nowNanos);
    }

    private void order(DispatchEvent.RolloutOrdered ordered) {
        PoolState pool = pool(ordered.order().service());
        boolean known =
                pool.rollout()
                        .map(rollout -> rollout.order().equals(ordered.order()))
                        .orElse(false);
        if (!known) {
            RolloutPolicy allowed =
                    ordered.evidenceHere() ? rolloutPolicy : new RolloutPolicy(0, 0);
            pool.rollout(new VersionRollout(ordered.order(), allowed, ordered.seenNanos()));
        }
    }

    private void settle(DispatchEvent.RolloutSettled settled) {
        pool(settled.order().service())
                .rollout()
                .filter(rollout -> rollout.order().equals(settled.order()))
                .ifPresent(rollout -> rollout.settle(settled.outcome()));
    }

    /** Returns the rollouts under way and those decided, with their outcomes so far. */
    public List<RolloutView> rollouts() {
        return pools.values().stream()
                .flatMap(pool -> pool.rollout().stream())
                .map(
                        rollout ->
                                new RolloutView(
                                        rollout.order(),
                                        rollout.outcome(),
                                        rollout.step(),
                                        rollout::evidence))
                .toList();
    }

    /**
     * A rollout.
     *
     * @param order the order
     * @param outcome its outcome so far
     * @param step which step of its share the new version has reached; -1 until it is proved
     * @param evidence says what speaks for it, for the log
     */
    public record RolloutView(
            RolloutOrder order, RolloutOutcome outcome, int step, Supplier<String> evidence) {}

    /**
     * Returns what this scheduler saw itself and the next primary can't know: crashes by content,
     * and the evidence of rollouts.
     *
     * @param self the host that tells it
     */
    public List<DispatchEvent> reports(HostId self, long now) {
        List<DispatchEvent> events = new ArrayList<>();
        Map<Long, Integer> strikes = crashes.strikes(now);
        if (!strikes.isEmpty()) {
            events.add(new DispatchEvent.CrashesReported(self, strikes));
        }
        for (PoolState pool : pools.values()) {
            pool.rollout()
                    .filter(rollout -> !rollout.isSettled())
                    .map(
                            rollout ->
                                    new DispatchEvent.RolloutReported(
                                            self, rollout.order(), rollout.toTell()))
                    .ifPresent(events::add);
        }
        return events;
    }

    private void applyReport(DispatchEvent.CrashesReported reported) {
        if (isYoung() && crashesReportedBy.add(reported.host())) {
            crashes.applyReport(reported.crashes(), nowNanos);
        }
    }

    private void applyReport(DispatchEvent.RolloutReported reported) {
        if (isYoung()) {
            pool(reported.order().service())
                    .rollout()
                    .filter(rollout -> rollout.order().equals(reported.order()))
                    .ifPresent(rollout -> rollout.applyReport(reported.host(), reported.tallies()));
        }
    }

    /** What hosts report is new to a primary that begins; one that goes on saw it itself. */
    private boolean isYoung() {
        return nowNanos - beganNanos < REPORT_WINDOW_NANOS;
    }

    private void tick() {
        forgetOverdue();
        pools.values().forEach(pool -> pool.decideRollout(nowNanos));
        for (PoolState pool : pools.values()) {
            if (pool.waiting() > 0) {
                pool.sortLate(nowNanos);
                giveUp(pool);
                serve(pool);
            }
        }
    }

    private void forgetOverdue() {
        if (runs.isEmpty() || nowNanos - forgotNanos < FORGET_PERIOD_NANOS) {
            return;
        }
        forgotNanos = nowNanos;
        List<RunKey> overdue =
                runs.entrySet().stream()
                        .filter(entry -> isOverdue(entry.getValue().runs().get(entry.getKey())))
                        .map(Map.Entry::getKey)
                        .toList();
        overdue.forEach(run -> end(run, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0)));
    }

    private boolean isOverdue(Running run) {
        long allowed = run.request().deadlineLeftMillis() + FORGET_MILLIS;
        return nowNanos - run.sentNanos() > allowed * NANOS_PER_MILLI;
    }

    private void giveUp(PoolState pool) {
        Placement placement = new Placement(pool, rates, placeShare, nowNanos);
        double places = placement.usablePlaces(pool.waitersBusyMillis());
        AdmissionRule admission = new AdmissionRule(pool, places, nowNanos);
        for (QueuedRequest waiter : admission.hopeless()) {
            pool.remove(waiter.run());
            PlacementRequest left = waiter.request().aged(waiter.waitedMillis(nowNanos));
            quotas.giveBack(waiter.request());
            refuse(waiter.run(), left, Reason.OVERLOAD, admission.waitMillis(left.rank()));
        }
    }

    /** Gives free places to those who wait. */
    private void serve(PoolState pool) {
        if (pool.waiting() == 0) {
            return;
        }
        Placement placement = new Placement(pool, rates, placeShare, nowNanos);
        int skipped = 0;
        for (QueuedRequest waiter : pool.inOrder()) {
            if (grant(pool, placement, waiter.run(), waiter.request())) {
                pool.remove(waiter.run());
            } else {
                skipped++;
            }
            if (skipped >= LOOK_AHEAD) {
                return;
            }
        }
    }
}

package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.StateMachine;

/**
 * The home of pools: one queue for each pool, ordered by urgency, before servers that get no more
 * at once than they can run. Everything that hosts see of the servers comes here, so no two
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

    /** Hosts tell a home that begins what they know within this time. */
    private static final long RECALL_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long FORGET_PERIOD_NANOS = 200 * NANOS_PER_MILLI;

    private final Map<ServiceId, PoolState> pools = new HashMap<>();
    private final Map<RunKey, ServerState> runs = new HashMap<>();
    private final CrashTracker crashes = new CrashTracker();
    private final Set<HostId> crashesRecalledBy = new HashSet<>();
    private final Quotas quotas;
    private final ServerRates rates;
    private final MovePolicy movePolicy;
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
     * @param giver whether it gives out quotas as the home or in its place
     * @param movePolicy what a bad version may cost
     */
    public Scheduler(
            double firstFill, Quotas.Slack slack, Quotas.Giver giver, MovePolicy movePolicy) {
        this.movePolicy = movePolicy;
        this.quotas = new Quotas(firstFill, slack, giver);
        this.rates = new ServerRates(giver);
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
            case DispatchEvent.Asked asked -> ask(asked.run(), asked.ask());
            case DispatchEvent.Withdrawn withdrawn -> withdraw(withdrawn.run());
            case DispatchEvent.Placed placed -> placed(placed);
            case DispatchEvent.First first -> first(first);
            case DispatchEvent.Ended ended -> end(ended.run(), ended.end());
            case DispatchEvent.CrashesRecalled recalled -> recall(recalled);
            case DispatchEvent.MoveRecalled recalled -> recall(recalled);
            case DispatchEvent.HostGone gone -> forget(gone.host());
            case DispatchEvent.ServersChanged changed -> take(changed.servers());
            case DispatchEvent.ServerLeaving leaving -> leave(leaving);
            case DispatchEvent.ServerLimited limited ->
                    rates.recalled(
                            limited.server(),
                            limited.bornMillis(),
                            limited.limit().perSecond(),
                            nowNanos);
            case DispatchEvent.LimitsChanged changed -> limit(changed);
            case DispatchEvent.ShareChanged changed -> share(changed);
            case DispatchEvent.QuotasHanded handed -> quotas.takeOver(handed.parts());
            case DispatchEvent.MoveOrdered ordered -> order(ordered);
            case DispatchEvent.MoveSettled settled -> settle(settled);
            case DispatchEvent.Tick tick -> tick();
        }
        return actions;
    }

    /** Stops giving out what has gathered of quotas, and returns that for the next giver. */
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

    private void ask(RunKey run, Ask ask) {
        PoolState pool = pool(ask.service());
        if (repeats(run, pool)) {
            return;
        }
        if (crashes.isHeld(ask.content(), nowNanos)) {
            refuse(run, ask, Reason.HELD, (double) ask.deadlineLeftMillis());
            return;
        }
        if (!quotas.take(ask, nowNanos)) {
            refuse(run, ask, Reason.QUOTA, (double) quotas.millisUntil(ask));
            return;
        }
        if (ask.excluded().containsAll(pool.servers().ids())) {
            turnAway(run, ask, Reason.NO_SERVER, (double) NO_SERVER_RETRY_MILLIS);
            return;
        }
        Placement placement = new Placement(pool, rates, placeShare, nowNanos);
        if (isNext(pool, ask) && grant(pool, placement, run, ask)) {
            return;
        }
        double places = placement.usablePlaces(pool.busyMillis(ask));
        AdmissionRule admission = new AdmissionRule(pool, places, nowNanos);
        if (!admission.mayWait(ask)) {
            turnAway(run, ask, Reason.OVERLOAD, admission.waitMillis(ask.rank()));
            return;
        }
        pool.add(new QueuedRequest(run, ask, nowNanos, order++));
        actions.add(new DispatchAction.Queued(run));
    }

    /** Answers once more who asks once more, since the first answer may be lost. */
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
    private static boolean isNext(PoolState pool, Ask ask) {
        return pool.waiters().stream().noneMatch(waiter -> waiter.ask().rank() <= ask.rank());
    }

    private boolean grant(PoolState pool, Placement placement, RunKey run, Ask ask) {
        Optional<ServerState> chosen = placement.choose(ask);
        if (chosen.isEmpty()) {
            return false;
        }
        ServerState server = chosen.get();
        String why =
                "running=%d pending_tokens=%d score_ms=%.0f faults=%.2f waiting=%d"
                        .formatted(
                                server.running(),
                                server.pendingTokens(),
                                placement.score(server, ask),
                                server.faultRate(nowNanos),
                                pool.waiting());
        String limit =
                rates.of(server.server())
                        .map(rate -> " limit_per_second=%.2f".formatted(rate.perSecond()))
                        .orElse("");
        start(server, run, ask);
        actions.add(new DispatchAction.Grant(run, server.server().id(), why + limit));
        return true;
    }

    private void start(ServerState server, RunKey run, Ask ask) {
        boolean engine = ask.promptTokens() > 0;
        long reading = engine ? server.pendingTokens() + ask.promptTokens() : 0;
        server.start(run, new Running(ask, nowNanos, reading, true));
        runs.put(run, server);
        rates.of(server.server()).ifPresent(rate -> rate.sent(nowNanos));
        PoolState pool = pool(ask.service());
        pool.load().add(ask.rank(), pool.busyMillis(ask), nowNanos);
        pool.move().ifPresent(move -> move.sent(server.server(), ask.route()));
    }

    /** Refuses what had taken of its quota. */
    private void turnAway(RunKey run, Ask ask, Reason reason, double betterMillis) {
        quotas.giveBack(ask);
        refuse(run, ask, reason, betterMillis);
    }

    private void refuse(RunKey run, Ask ask, Reason reason, double betterMillis) {
        long retryAfterMillis = AdmissionRule.retryAfterMillis(ask, betterMillis);
        actions.add(new DispatchAction.Refuse(run, reason, retryAfterMillis));
    }

    private void withdraw(RunKey run) {
        for (PoolState pool : pools.values()) {
            Optional<QueuedRequest> waiter = pool.remove(run);
            if (waiter.isPresent()) {
                quotas.giveBack(waiter.get().ask());
                return;
            }
        }
        end(run, new RunEnd(RunEnd.Outcome.CANCELLED, 0, 0, 0));
    }

    private void placed(DispatchEvent.Placed placed) {
        PoolState pool = pool(placed.ask().service());
        pool.remove(placed.run());
        if (runs.containsKey(placed.run())) {
            return;
        }
        quotas.charge(placed.ask());
        pool.servers()
                .get(placed.server())
                .ifPresent(server -> start(server, placed.run(), placed.ask()));
    }

    private void first(DispatchEvent.First first) {
        ServerState server = runs.get(first.run());
        if (server == null) {
            return;
        }
        stated(server, first.run(), first.limit());
        PoolState pool = pool(server.server().service());
        pool.firstInMove(server, first.run(), first.firstMillis());
        server.first(first.run(), first.firstMillis(), pool.speed(), nowNanos);
    }

    private void stated(ServerState server, RunKey run, StatedLimit limit) {
        Running running = server.runs().get(run);
        if (running != null) {
            rates.stated(server.server(), limit, running.sentNanos(), nowNanos);
        }
    }

    private void end(RunKey run, RunEnd end) {
        ServerState server = runs.remove(run);
        if (server == null) {
            return;
        }
        PoolState pool = pool(server.server().service());
        stated(server, run, end.limit());
        watchCrashes(server, run, end.outcome());
        pool.endInMove(server, run, end);
        server.end(run, end, pool.speed(), nowNanos);
        serve(pool);
    }

    private void watchCrashes(ServerState server, RunKey run, RunEnd.Outcome outcome) {
        Running running = server.runs().get(run);
        if (running == null) {
            return;
        }
        ServerId id = server.server().id();
        long content = running.ask().content();
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
            end(run, new RunEnd(RunEnd.Outcome.CANCELLED, 0, 0, 0));
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
                    .filter(server -> server.server().bornMillis() == leaving.bornMillis())
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

    private void order(DispatchEvent.MoveOrdered ordered) {
        PoolState pool = pool(ordered.order().service());
        boolean known = pool.move().map(move -> move.order().equals(ordered.order())).orElse(false);
        if (!known) {
            MovePolicy allowed = ordered.evidenceHere() ? movePolicy : new MovePolicy(0, 0);
            pool.move(new VersionMove(ordered.order(), allowed, ordered.seenNanos()));
        }
    }

    private void settle(DispatchEvent.MoveSettled settled) {
        pool(settled.order().service())
                .move()
                .filter(move -> move.order().equals(settled.order()))
                .ifPresent(move -> move.settle(settled.outcome()));
    }

    /** Returns the moves under way and those decided, with their outcomes so far. */
    public List<MoveView> moves() {
        return pools.values().stream()
                .flatMap(pool -> pool.move().stream())
                .map(
                        move ->
                                new MoveView(
                                        move.order(), move.outcome(), move.step(), move::evidence))
                .toList();
    }

    /**
     * A move.
     *
     * @param order the order
     * @param outcome its outcome so far
     * @param step which step of its share the new version has reached; -1 until it is proved
     * @param evidence says what speaks for it, for the log
     */
    public record MoveView(
            MoveOrder order, MoveOutcome outcome, int step, Supplier<String> evidence) {}

    /**
     * Returns what this scheduler saw itself and the next home can't know: crashes by content, and
     * the evidence of moves.
     *
     * @param self the host that tells it
     */
    public List<DispatchEvent> recall(HostId self, long now) {
        List<DispatchEvent> events = new ArrayList<>();
        Map<Long, Integer> strikes = crashes.strikes(now);
        if (!strikes.isEmpty()) {
            events.add(new DispatchEvent.CrashesRecalled(self, strikes));
        }
        for (PoolState pool : pools.values()) {
            pool.move()
                    .filter(move -> !move.isSettled())
                    .map(move -> new DispatchEvent.MoveRecalled(self, move.order(), move.toTell()))
                    .ifPresent(events::add);
        }
        return events;
    }

    private void recall(DispatchEvent.CrashesRecalled recalled) {
        if (isYoung() && crashesRecalledBy.add(recalled.host())) {
            crashes.recall(recalled.crashes(), nowNanos);
        }
    }

    private void recall(DispatchEvent.MoveRecalled recalled) {
        if (isYoung()) {
            pool(recalled.order().service())
                    .move()
                    .filter(move -> move.order().equals(recalled.order()))
                    .ifPresent(move -> move.recall(recalled.host(), recalled.tallies()));
        }
    }

    /** What hosts recall is new to a home that begins; one that goes on saw it itself. */
    private boolean isYoung() {
        return nowNanos - beganNanos < RECALL_NANOS;
    }

    private void tick() {
        forgetOverdue();
        pools.values().forEach(pool -> pool.decideMove(nowNanos));
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
        overdue.forEach(run -> end(run, new RunEnd(RunEnd.Outcome.CANCELLED, 0, 0, 0)));
    }

    private boolean isOverdue(Running run) {
        long allowed = run.ask().deadlineLeftMillis() + FORGET_MILLIS;
        return nowNanos - run.sentNanos() > allowed * NANOS_PER_MILLI;
    }

    private void giveUp(PoolState pool) {
        Placement placement = new Placement(pool, rates, placeShare, nowNanos);
        double places = placement.usablePlaces(pool.waitersBusyMillis());
        AdmissionRule admission = new AdmissionRule(pool, places, nowNanos);
        for (QueuedRequest waiter : admission.hopeless()) {
            pool.remove(waiter.run());
            Ask left = waiter.ask().again(waiter.waitedMillis(nowNanos));
            quotas.giveBack(waiter.ask());
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
            if (grant(pool, placement, waiter.run(), waiter.ask())) {
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

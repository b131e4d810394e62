package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.quarantine.ServerStart;

/**
 * Schedules the requests of all pools on the primary. Each pool has one queue ordered by urgency,
 * and its servers get no more requests at once than they can run. All hosts report their runs here,
 * so no two requests are sent to the same free slot.
 */
public final class Scheduler implements StateMachine<DispatchEvent, DispatchAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The number of queued requests without an eligible server after which the rest of the queue is
     * not tried.
     */
    private static final int MAX_SKIPPED = 32;

    /** The time after the start of a primary in which reports of other hosts count. */
    private static final long REPORT_WINDOW_NANOS = 2_000 * NANOS_PER_MILLI;

    private final Pools pools;
    private final ActiveRuns runs = new ActiveRuns();
    private final QuarantineControl quarantine;
    private final HostConnectivity connectivity = new HostConnectivity();
    private final Quotas quotas;
    private final Refusals refusals;
    private final ServerLimits limits;
    private final RolloutPolicy rolloutPolicy;
    private final PacedServers paced;
    private List<DispatchAction> actions = new ArrayList<>();
    private double slotShare = 1;
    private long nextSequence;
    private long nowNanos;
    private long startedNanos;
    private boolean started;

    /**
     * Creates a scheduler without servers.
     *
     * @param initialFill the fraction of each quota's burst that is available initially, from 0 to
     *     1
     * @param slack the tolerance beyond quotas
     * @param role whether it grants quotas as the primary or as a fallback
     * @param rolloutPolicy the bounds on the requests to a version that is not proved
     * @param pacing whether servers that have just started or recovered are paced
     * @param coldBound the bound on the requests to cold servers
     */
    public Scheduler(
            double initialFill,
            Quotas.Slack slack,
            Quotas.Role role,
            RolloutPolicy rolloutPolicy,
            PacingPolicy pacing,
            ColdBound coldBound) {
        this.paced = new PacedServers(pacing, line -> actions.add(new DispatchAction.Note(line)));
        this.pools = new Pools(paced);
        this.rolloutPolicy = rolloutPolicy;
        boolean decides = role == Quotas.Role.PRIMARY;
        this.quarantine = new QuarantineControl(decides, action -> actions.add(action));
        this.quotas = new Quotas(initialFill, slack, role);
        this.refusals = new Refusals(quotas, action -> actions.add(action));
        this.limits = new ServerLimits(role, coldBound, this::note);
    }

    @Override
    public List<DispatchAction> on(long now, DispatchEvent event) {
        nowNanos = now;
        if (!started) {
            started = true;
            startedNanos = now;
        }
        actions = new ArrayList<>();
        switch (event) {
            case DispatchEvent.PlacementRequested requested ->
                    admit(requested.run(), requested.request());
            case DispatchEvent.Withdrawn withdrawn -> withdraw(withdrawn.run());
            case DispatchEvent.Placed placed -> recordPlaced(placed);
            case DispatchEvent.First first -> recordFirstEvent(first);
            case DispatchEvent.Ended ended -> end(ended.run(), ended.report());
            case DispatchEvent.Survived survived -> recordSurvived(survived.run());
            case DispatchEvent.CrashesReported reported -> {
                quarantine.apply(reported, nowNanos);
                refuseHeldRequests();
            }
            case DispatchEvent.QuarantineAnnounced announced -> {
                quarantine.apply(announced, nowNanos);
                refuseHeldRequests();
            }
            case DispatchEvent.QuarantineDuty duty -> quarantine.setDecides(duty.decides());
            case DispatchEvent.ReleaseOrdered ordered ->
                    quarantine.release(ordered.suspect(), nowNanos);
            case DispatchEvent.RolloutReported reported -> applyReport(reported);
            case DispatchEvent.HostGone gone -> removeHost(gone.host());
            case DispatchEvent.ServersChanged changed -> updateServers(changed);
            case DispatchEvent.ServerLeaving leaving -> markLeaving(leaving);
            case DispatchEvent.ServerNotice notice -> applyNotice(notice);
            case DispatchEvent.LimitsChanged changed -> updateLimits(changed);
            case DispatchEvent.ShareChanged changed -> updateShare(changed);
            case DispatchEvent.QuotasHandedOver handed -> quotas.takeOver(handed.parts());
            case DispatchEvent.RolloutOrdered ordered -> startRollout(ordered);
            case DispatchEvent.RolloutSettled settled -> settleRollout(settled);
            case DispatchEvent.Tick tick -> tick();
        }
        return actions;
    }

    /**
     * Stops granting the accrued quotas and returns them for the next scheduler.
     *
     * @param now the current time on the monotonic clock, in nanoseconds
     */
    public DispatchEvent.QuotasHandedOver handOverQuotas(long now) {
        return new DispatchEvent.QuotasHandedOver(quotas.handOver(now));
    }

    /** Returns the number of queued requests over all pools. */
    public int waiting() {
        return pools.waiting();
    }

    /** Returns the number of servers that are paced over all pools. */
    public int pacedServers() {
        return pools.pacedServers();
    }

    /** Returns the number of runs under way over all pools. */
    public int running() {
        return runs.size();
    }

    private void note(String line) {
        actions.add(new DispatchAction.Note(line));
    }

    private void admit(RunKey run, PlacementRequest request) {
        PoolState pool = pools.get(request.service());
        if (repeatDecision(run, pool)) {
            return;
        }
        Optional<CrashReport.Held> holding = quarantine.holding(request.content(), nowNanos);
        if (holding.isPresent()) {
            refusals.refuseHeld(run, request, holding.get());
            return;
        }
        if (!quotas.tryTake(request, nowNanos)) {
            refusals.refuseQuota(run, request);
            return;
        }
        if (pool.servers().hasNoneFor(request)) {
            quotas.refund(request, nowNanos);
            refusals.refuseNoServer(run, request);
            return;
        }
        Placement placement = new Placement(pool, limits, slotShare, nowNanos);
        if (isNext(pool, request) && grant(pool, placement, run, request)) {
            return;
        }
        double slots = placement.usableSlots(request);
        AdmissionRule admission = new AdmissionRule(pool, slots, nowNanos);
        if (!admission.mayQueue(request)) {
            quotas.refund(request, nowNanos);
            refusals.refuseOverload(run, request, admission);
            return;
        }
        pool.queue().add(new QueuedRequest(run, request, nowNanos, nextSequence++));
        actions.add(new DispatchAction.Queued(run));
    }

    /**
     * Repeats the decision on a repeated request, since the first message may be lost; returns
     * whether there was one.
     */
    private boolean repeatDecision(RunKey run, PoolState pool) {
        ServerState server = runs.server(run);
        if (server != null) {
            boolean watched = quarantine.isSuspected(server.runs().get(run).request().content());
            actions.add(new DispatchAction.Grant(run, server.server().id(), "again", watched));
            return true;
        }
        if (pool.queue().contains(run)) {
            actions.add(new DispatchAction.Queued(run));
            return true;
        }
        return false;
    }

    /** Returns whether no request of the same or a more urgent rank is queued. */
    private static boolean isNext(PoolState pool, PlacementRequest request) {
        if (!pool.queue().restricts(request)) {
            return !pool.queue().hasRankUpTo(request.rank());
        }
        return pool.queue().all().stream()
                .map(QueuedRequest::request)
                .noneMatch(
                        queued -> queued.rank() <= request.rank() && request.competesWith(queued));
    }

    private boolean grant(
            PoolState pool, Placement placement, RunKey run, PlacementRequest request) {
        Optional<ServerState> chosen = placement.choose(request);
        if (chosen.isEmpty()) {
            return false;
        }
        ServerState server = chosen.get();
        String inputs =
                "running=%d pending_tokens=%d score_ms=%.0f faults=%.2f waiting=%d"
                                .formatted(
                                        server.running(),
                                        server.pendingTokens(),
                                        placement.score(server, request),
                                        server.faultRate(nowNanos),
                                        pool.waiting())
                        + limits.describe(server.server(), nowNanos);
        start(server, run, request);
        actions.add(
                new DispatchAction.Grant(
                        run,
                        server.server().id(),
                        inputs,
                        quarantine.isSuspected(request.content())));
        return true;
    }

    private void start(ServerState server, RunKey run, PlacementRequest request) {
        boolean engine = request.promptTokens() > 0;
        long prefillTokens = engine ? server.pendingTokens() + request.promptTokens() : 0;
        server.start(
                run,
                new ActiveRun(
                        request,
                        nowNanos,
                        prefillTokens,
                        true,
                        limits.isCold(server.server(), nowNanos)));
        runs.put(run, server);
        quarantine.placed(request.content(), nowNanos);
        limits.recordSent(server.server(), nowNanos);
        PoolState pool = pools.get(request.service());
        pool.load().add(request.rank(), pool.expectedRunMillis(request), nowNanos);
        pool.rollout().ifPresent(rollout -> rollout.recordSent(server.server(), request.route()));
    }

    private void withdraw(RunKey run) {
        Optional<QueuedRequest> queued = pools.removeQueued(run);
        if (queued.isPresent()) {
            quotas.refund(queued.get().request(), nowNanos);
            return;
        }
        cancel(run);
    }

    /** Ends a run of which no more is known. */
    private void cancel(RunKey run) {
        end(run, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
    }

    private void recordPlaced(DispatchEvent.Placed placed) {
        PoolState pool = pools.get(placed.request().service());
        // What is queued was charged already, and another scheduler did not charge it again.
        boolean charged = pool.queue().remove(placed.run()).isPresent();
        ServerState granted = runs.server(placed.run());
        if (granted != null && granted.server().id().equals(placed.server())) {
            return;
        }
        if (granted == null && !charged) {
            quotas.charge(placed.request(), nowNanos);
        } else if (granted != null) {
            // Another scheduler's grant was used; this one's was charged already.
            end(placed.run(), new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
        }
        pool.servers()
                .get(placed.server())
                .ifPresent(server -> start(server, placed.run(), placed.request()));
    }

    private void recordFirstEvent(DispatchEvent.First first) {
        ServerState server = runs.server(first.run());
        if (server == null) {
            return;
        }
        connectivity.answered(first.run().origin(), server.server().id(), nowNanos);
        ActiveRun running = server.runs().get(first.run());
        limits.recordFirst(server.server(), first, running.sentNanos(), nowNanos);
        quarantine.runWrote(server, running, nowNanos);
        PoolState pool = pools.get(server.server().service());
        pool.recordFirstEvent(server, first.run(), first.firstMillis());
        server.recordFirstEvent(first.run(), first.firstMillis(), pool.speed(), nowNanos);
    }

    private void end(RunKey run, RunReport reported) {
        ServerState server = runs.remove(run);
        if (server == null) {
            return;
        }
        RunReport report =
                connectivity.attribute(run.origin(), server.server().id(), reported, nowNanos);
        PoolState pool = pools.get(server.server().service());
        ActiveRun ended = server.runs().get(run);
        limits.recordEnd(server, report, ended.sentNanos(), nowNanos);
        quarantine.runEnded(server, ended, report, nowNanos);
        pool.recordEnd(server, run, report);
        server.end(run, report, pool.speed(), nowNanos);
        serveQueue(pool);
    }

    private void recordSurvived(RunKey run) {
        ServerState server = runs.server(run);
        if (server != null) {
            quarantine.runSurvived(server.runs().get(run), nowNanos);
        }
    }

    private boolean hasOlderRuns(ServerStart start, long sentBeforeNanos) {
        return pools.servers(start.id())
                .filter(server -> QuarantineControl.startOf(server).equals(start))
                .flatMap(server -> server.runs().values().stream())
                .anyMatch(run -> run.sentNanos() < sentBeforeNanos);
    }

    private void removeHost(HostId host) {
        connectivity.hostGone(host);
        runs.ofHost(host).forEach(this::cancel);
        pools.removeQueued(host);
    }

    private void updateServers(DispatchEvent.ServersChanged changed) {
        paced.setWallMillis(changed.wallMillis());
        Set<ServerId> present = new HashSet<>();
        for (PoolServer server : changed.servers()) {
            present.add(server.id());
            if (pools.put(server, nowNanos)) {
                quarantine.serverLost(server.id(), nowNanos);
            }
        }
        connectivity.retain(present);
        for (PoolState pool : pools.all()) {
            pool.servers()
                    .retain(present)
                    .forEach(server -> quarantine.serverLost(server, nowNanos));
            pool.servers().setEvacuated(changed.evacuated());
        }
        if (!changed.evacuated().isEmpty()) {
            pools.all().forEach(this::refuseWithoutServer);
        }
        pools.all().forEach(this::serveQueue);
    }

    /** Refuses the queued requests that no remaining server may run. */
    private void refuseWithoutServer(PoolState pool) {
        for (QueuedRequest queued : List.copyOf(pool.queue().all())) {
            if (pool.servers().hasNoneFor(queued.request())) {
                PlacementRequest aged = refusals.removeQueued(pool, queued, nowNanos);
                refusals.refuseNoServer(queued.run(), aged);
            }
        }
    }

    private void markLeaving(DispatchEvent.ServerLeaving leaving) {
        pools.servers(leaving.server())
                .filter(server -> server.server().startMillis() == leaving.startMillis())
                .forEach(ServerState::markLeaving);
    }

    private void applyNotice(DispatchEvent.ServerNotice notice) {
        limits.apply(notice, nowNanos);
        pools.servers(notice.server())
                .filter(server -> limits.isCold(server.server(), nowNanos))
                .forEach(ServerState::markWarmup);
    }

    private void updateLimits(DispatchEvent.LimitsChanged changed) {
        changed.pools().forEach((service, pool) -> pools.get(service).define(pool));
        limits.setPools(changed.pools());
        quotas.setLimits(changed.quotas(), nowNanos);
    }

    private void updateShare(DispatchEvent.ShareChanged changed) {
        slotShare = changed.slots();
        quotas.setShare(changed.quota(), nowNanos);
        limits.setShare(changed, nowNanos);
    }

    private void startRollout(DispatchEvent.RolloutOrdered ordered) {
        RolloutPolicy policy = ordered.evidenceHere() ? rolloutPolicy : new RolloutPolicy(0, 0);
        pools.get(ordered.order().service()).startRollout(ordered, policy);
    }

    private void settleRollout(DispatchEvent.RolloutSettled settled) {
        pools.get(settled.order().service())
                .rolloutOf(settled.order())
                .ifPresent(rollout -> rollout.settle(settled.outcome()));
    }

    /** Returns the most recent rollout of each pool, with its outcome so far. */
    public List<RolloutView> rollouts() {
        return pools.rollouts();
    }

    /**
     * Returns the observations of this scheduler that the next primary needs: crashes by content,
     * and the evidence of rollouts.
     *
     * @param self the reporting host
     * @param now the current time on the monotonic clock, in nanoseconds
     */
    public List<DispatchEvent> reports(HostId self, long now) {
        List<DispatchEvent> events = new ArrayList<>();
        events.add(crashReport(self, now));
        pools.all().forEach(pool -> pool.rolloutReport(self).ifPresent(events::add));
        return events;
    }

    /**
     * Returns what this scheduler knows of crashes and quarantined content.
     *
     * @param self the reporting host
     * @param now the current time on the monotonic clock, in nanoseconds
     */
    public DispatchEvent.CrashesReported crashReport(HostId self, long now) {
        return new DispatchEvent.CrashesReported(self, quarantine.report(now));
    }

    /** Refuses what is queued and quarantined meanwhile. */
    private void refuseHeldRequests() {
        for (PoolState pool : pools.all()) {
            for (QueuedRequest queued : List.copyOf(pool.queue().all())) {
                Optional<CrashReport.Held> holding =
                        quarantine.holding(queued.request().content(), nowNanos);
                if (holding.isPresent()) {
                    PlacementRequest aged = refusals.removeQueued(pool, queued, nowNanos);
                    refusals.refuseHeld(queued.run(), aged, holding.get());
                }
            }
        }
    }

    /** Returns how many servers have a state that limits what they may be sent. */
    public LimitCounts limitCounts(long now) {
        return limits.counts(now);
    }

    /** Returns what is quarantined. */
    public List<CrashReport.Held> held(long now) {
        return quarantine.held(now);
    }

    /** Returns whether the end of a run with this content tells anything about a recent crash. */
    public boolean isSuspected(RequestContent content) {
        return quarantine.isSuspected(content);
    }

    private void applyReport(DispatchEvent.RolloutReported reported) {
        if (acceptsReports()) {
            pools.get(reported.order().service())
                    .rolloutOf(reported.order())
                    .ifPresent(rollout -> rollout.applyReport(reported.host(), reported.tallies()));
        }
    }

    /**
     * Reports only add to a recently started primary; one that runs longer observed the same events
     * itself.
     */
    private boolean acceptsReports() {
        return nowNanos - startedNanos < REPORT_WINDOW_NANOS;
    }

    private void tick() {
        limits.tick(nowNanos);
        runs.overdue(nowNanos).forEach(this::cancel);
        if (quarantine.tick(this::hasOlderRuns, nowNanos)) {
            refuseHeldRequests();
        }
        pools.all().forEach(pool -> pool.updateRollout(nowNanos));
        for (PoolState pool : pools.all()) {
            if (pool.waiting() > 0) {
                pool.queue().moveLate(nowNanos);
                refuseUnservable(pool);
                serveQueue(pool);
            }
        }
    }

    private void refuseUnservable(PoolState pool) {
        Placement placement = new Placement(pool, limits, slotShare, nowNanos);
        double slots = placement.usableSlots(pool.meanQueuedRunMillis());
        AdmissionRule admission = new AdmissionRule(pool, slots, nowNanos);
        for (QueuedRequest queued : admission.unservable()) {
            PlacementRequest aged = refusals.removeQueued(pool, queued, nowNanos);
            refusals.refuseOverload(queued.run(), aged, admission);
        }
    }

    /** Grants free slots to queued requests. */
    private void serveQueue(PoolState pool) {
        if (pool.waiting() == 0) {
            return;
        }
        Placement placement = new Placement(pool, limits, slotShare, nowNanos);
        // Requests for a region without free slots must not hold back those for other regions.
        Map<Optional<Set<FailureDomain>>, Integer> skipped = new HashMap<>();
        RequestQueue.Cursor cursor = pool.queue().cursor();
        boolean free = placement.hasFreeSlot();
        while (free) {
            QueuedRequest queued = cursor.next();
            if (queued == null) {
                return;
            }
            Optional<Set<FailureDomain>> domains = queued.request().allowedDomains();
            if (skipped.getOrDefault(domains, 0) >= MAX_SKIPPED) {
                if (domains.isEmpty()) {
                    return;
                }
            } else if (grant(pool, placement, queued.run(), queued.request())) {
                pool.queue().remove(queued.run());
                free = placement.hasFreeSlot();
            } else {
                skipped.merge(domains, 1, Integer::sum);
            }
        }
    }
}

package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchCodec;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.DispatchMessage;
import org.orioleshed.dispatch.LimitCounts;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.dispatch.RolloutView;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.Scheduler;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.CrashTracker;
import org.orioleshed.quarantine.Suspect;

/**
 * Obtains slots for this host's requests: from the primary of the pools, or, while the primary does
 * not respond, from a local fallback scheduler that has only this host's runs.
 */
final class Dispatcher {
    /** The primary responds to each request at once; allows a few round trips and a short stall. */
    private static final long PRIMARY_RESPONSE_MILLIS = 60;

    /**
     * A request that waits at the primary is sent again at this interval, as its grant may be lost.
     */
    private static final long RESEND_MILLIS = 500;

    /** The quota fill of a new scheduler, which has no data on earlier use. */
    private static final double INITIAL_FILL = 0.05;

    /**
     * The quota fill of the first primary after all hosts were down: quotas refilled meanwhile, and
     * only the first primary grants that.
     */
    private static final double FLEET_RESTART_FILL = 0.7;

    /** After a longer pause of this host, unread responses are read before silence is checked. */
    private static final long STALL_MILLIS = 45;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier clock;
    private final HostId self;
    private final PeerPort peers;
    private final FleetView fleet;
    private final Consumer<String> log;
    private final DispatchCodec codec = new DispatchCodec();
    private final Map<RunKey, PendingPlacement> pending = new HashMap<>();
    private final Map<RunKey, Active> active = new HashMap<>();
    private final Followers followers = new Followers();
    private final Quotas.Slack slack;
    private final RolloutPolicy rolloutPolicy;
    private final PacingPolicy pacing;
    private final ColdBound coldBound;
    private final ServerNotices notices = new ServerNotices();
    private final CatalogFeed feed;
    private final Map<RolloutOrder, LoggedState> loggedStates = new HashMap<>();
    private final Scheduler fallback;
    private Scheduler primaryScheduler;
    private final PrimaryLink primary;
    private BiConsumer<RolloutOrder, RolloutOutcome> recorder = (order, outcome) -> {};
    private Runnable onRequestSent = () -> {};
    private BiConsumer<HostId, Set<ServiceId>> onPoolsUnreachable = (host, pools) -> {};
    private final QuotaHandOver handOver = new QuotaHandOver();
    private boolean hasFollowed;
    private long tickedNanos;
    private double quotaShare;

    /** Receives the outcome of a placement. */
    interface PlacementListener {
        /** Called when a server was chosen, to which the request is to be sent. */
        void granted(RunKey run, ServerId server, String why);

        /** Called when the request is refused. */
        void refused(RunKey run, DispatchAction.Reason reason, long retryAfterMillis);
    }

    /** The last logged state of a rollout. */
    private record LoggedState(RolloutOutcome outcome, int step) {}

    private record Active(
            PlacementRequest request, ServerId server, long sinceNanos, boolean watched) {
        Active unwatched() {
            return new Active(request, server, sinceNanos, false);
        }
    }

    Dispatcher(
            HostId self,
            PeerPort peers,
            FleetView fleet,
            Quotas.Slack slack,
            RolloutPolicy rolloutPolicy,
            PacingPolicy pacing,
            ColdBound coldBound,
            LongSupplier clock,
            LongSupplier wallClock,
            Consumer<String> log) {
        this.clock = clock;
        this.feed = new CatalogFeed(wallClock);
        this.self = self;
        this.slack = slack;
        this.rolloutPolicy = rolloutPolicy;
        this.pacing = pacing;
        this.coldBound = coldBound;
        this.fallback =
                new Scheduler(
                        INITIAL_FILL,
                        slack,
                        Quotas.Role.FALLBACK,
                        rolloutPolicy,
                        pacing,
                        coldBound);
        this.primaryScheduler = newPrimary(INITIAL_FILL);
        this.peers = peers;
        this.fleet = fleet;
        this.primary = new PrimaryLink(self, fleet, log);
        this.log = log;
    }

    private Scheduler newPrimary(double fill) {
        return new Scheduler(fill, slack, Quotas.Role.PRIMARY, rolloutPolicy, pacing, coldBound);
    }

    /** Requests a slot; the listener may be called before this returns. */
    void place(RunKey run, PlacementRequest request, PlacementListener listener) {
        long nowNanos = clock.getAsLong();
        PendingPlacement placement = new PendingPlacement(request, listener, nowNanos);
        pending.put(run, placement);
        place(run, placement, nowNanos);
    }

    private void place(RunKey run, PendingPlacement placement, long nowNanos) {
        placement.restart(nowNanos);
        if (primary.isSelf()) {
            placement.atPrimary = true;
            applyPrimary(
                    primaryScheduler.on(
                            nowNanos,
                            new DispatchEvent.PlacementRequested(
                                    run, placement.requestToPrimary(nowNanos))));
            return;
        }
        placement.atPrimary = false;
        if (!primary.acceptsRequests(nowNanos) || !requestAtPrimary(run, placement, nowNanos)) {
            placeLocally(run, placement, nowNanos);
        }
    }

    private boolean requestAtPrimary(RunKey run, PendingPlacement placement, long nowNanos) {
        placement.atPrimary =
                sendToPrimary(
                        new DispatchEvent.PlacementRequested(
                                run, placement.requestToPrimary(nowNanos)));
        if (placement.atPrimary) {
            placement.requestedNanos = nowNanos;
            primary.messageSent(nowNanos);
            onRequestSent.run();
        }
        return placement.atPrimary;
    }

    /** Requests a slot of the fallback; a request at the primary stays there. */
    private void placeLocally(RunKey run, PendingPlacement placement, long nowNanos) {
        placement.atFallback = true;
        applyFallback(
                fallback.on(
                        nowNanos,
                        new DispatchEvent.PlacementRequested(
                                run, placement.requestToFallback(nowNanos))));
    }

    /** Withdraws a placement request. */
    void withdraw(RunKey run) {
        PendingPlacement placement = pending.remove(run);
        if (placement == null) {
            return;
        }
        withdraw(run, placement);
    }

    private void withdraw(RunKey run, PendingPlacement placement) {
        DispatchEvent event = new DispatchEvent.Withdrawn(run);
        if (placement.atPrimary) {
            reportToPrimary(event);
        }
        if (placement.atFallback) {
            applyFallback(fallback.on(clock.getAsLong(), event));
        }
    }

    /** Takes the first event of a run, and the server's limits stated in that response. */
    void firstEvent(RunKey run, long firstMillis, StatedLimit limit, StatedLimit brittle) {
        notifySchedulers(new DispatchEvent.First(run, firstMillis, limit, brittle));
    }

    /**
     * Takes the progress of a run.
     *
     * @param streamedMillis the time from its first event to its last one so far
     */
    void streamed(RunKey run, long streamedMillis) {
        Active placed = active.get(run);
        if (placed == null || !placed.watched || streamedMillis < CrashTracker.SURVIVAL_MILLIS) {
            return;
        }
        active.put(run, placed.unwatched());
        notifySchedulers(new DispatchEvent.Survived(run));
    }

    /** Takes the end of a run. */
    void ended(RunKey run, RunReport report) {
        if (active.remove(run) != null) {
            notifySchedulers(new DispatchEvent.Ended(run, report));
        }
    }

    /** Returns the servers to which this host must send none of a pool's requests now. */
    Set<ServerId> avoided(ServiceId service) {
        Set<ServerId> noticed = notices.avoided(clock.getAsLong());
        // The primary may not have learned of an evacuation yet.
        Set<ServerId> evacuated = feed.evacuated(service);
        if (evacuated.isEmpty()) {
            return noticed;
        }
        Set<ServerId> all = new HashSet<>(noticed);
        all.addAll(evacuated);
        return all;
    }

    /**
     * Returns whether a server is draining or evacuated, or requested that this host send nothing
     * now.
     */
    boolean avoids(PoolServer server) {
        return server.draining()
                || isEvacuated(server)
                || notices.avoids(server, clock.getAsLong());
    }

    /** Returns whether the failure domain of a server is evacuated. */
    boolean isEvacuated(PoolServer server) {
        return feed.isEvacuated(server);
    }

    /** Takes the server state stated in a response, and returns what is new in it. */
    ServerNotices.Update noticed(PoolServer server, ResponseHeaders responseHeaders) {
        ServerNotices.Update update = notices.record(server, responseHeaders, clock.getAsLong());
        if (update.newlyLeaving()) {
            notifySchedulers(leaving(server));
        }
        notices.stated(server, responseHeaders).forEach(this::notifySchedulers);
        return update;
    }

    private static DispatchEvent leaving(PoolServer server) {
        return new DispatchEvent.ServerLeaving(server.id(), server.startMillis());
    }

    private void notifySchedulers(DispatchEvent event) {
        reportToPrimary(event);
        applyFallback(fallback.on(clock.getAsLong(), event));
    }

    private void reportToPrimary(DispatchEvent event) {
        if (primary.isSelf()) {
            applyPrimary(primaryScheduler.on(clock.getAsLong(), event));
        } else if (primary.id().isPresent()) {
            sendToPrimary(event);
        }
    }

    private boolean sendToPrimary(DispatchEvent event) {
        byte[] bytes = codec.encode(new DispatchMessage.ToPrimary(event));
        return peers.send(primary.id().orElseThrow(), MessageKind.DISPATCH, bytes);
    }

    /** Handles a message from a peer. */
    void received(HostId from, byte[] body) throws BadMessageException {
        switch (codec.decode(body)) {
            case DispatchMessage.ToPrimary to -> receivedAsPrimary(from, to.event());
            case DispatchMessage.Follow follows -> followerSeen(from);
            case DispatchMessage.PoolsUnreachable unreachable ->
                    onPoolsUnreachable.accept(from, unreachable.pools());
            case DispatchMessage.PrimaryStarted started -> {
                if (primary.id().equals(Optional.of(from))) {
                    replayState();
                }
            }
            case DispatchMessage.Quarantine quarantine ->
                    applyFallback(fallback.on(clock.getAsLong(), quarantine.announced()));
            case DispatchMessage.FromPrimary response -> {
                if (primary.responded(from, clock.getAsLong())) {
                    reportCrashes();
                }
                deliver(response.decision(), true);
            }
        }
    }

    private void receivedAsPrimary(HostId from, DispatchEvent event) {
        if (event instanceof DispatchEvent.QuotasHandedOver handed) {
            handOver.received(handed, clock.getAsLong());
            takeOverQuotas();
            return;
        }
        if (event instanceof DispatchEvent.PlacementRequested) {
            followerSeen(from);
        }
        applyPrimary(primaryScheduler.on(clock.getAsLong(), event));
    }

    private void takeOverQuotas() {
        long nowNanos = clock.getAsLong();
        if (primary.isSelf()) {
            handOver.take(nowNanos).ifPresent(handed -> takeOver(handed, nowNanos));
        }
    }

    private void takeOver(DispatchEvent.QuotasHandedOver handed, long nowNanos) {
        log.accept("event=quotas_taken_over workspaces=" + handed.parts().size());
        applyPrimary(primaryScheduler.on(nowNanos, handed));
    }

    /** Hands this leaving primary's remaining quota credit to the next primary. */
    private void handOverQuotas() {
        DispatchEvent.QuotasHandedOver handed = primaryScheduler.handOverQuotas(clock.getAsLong());
        boolean sent = sendToPrimary(handed);
        log.accept(
                "event=quotas_handed_over home=%s workspaces=%d sent=%s"
                        .formatted(primary.name(), handed.parts().size(), sent));
    }

    private void followerSeen(HostId host) {
        followers.refresh(host, clock.getAsLong());
        updatePrimaryShare();
    }

    private void applyPrimary(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            switch (action) {
                case DispatchAction.Decision decision -> decided(decision);
                case DispatchAction.QuarantineChanged changed -> announce(changed);
                case DispatchAction.Note note -> log.accept(note.line() + " by=home");
            }
        }
    }

    /** Tells the other hosts, and this one's fallback, what was quarantined or released. */
    private void announce(DispatchAction.QuarantineChanged changed) {
        DispatchEvent.QuarantineAnnounced announced =
                new DispatchEvent.QuarantineAnnounced(changed.held(), changed.released());
        byte[] bytes = codec.encode(new DispatchMessage.Quarantine(announced));
        if (changed.to().filter(host -> !host.equals(self)).isPresent()) {
            peers.send(changed.to().get(), MessageKind.DISPATCH, bytes);
            return;
        }
        applyFallback(fallback.on(clock.getAsLong(), announced));
        if (changed.to().isEmpty()) {
            fleet.others().forEach(host -> peers.send(host, MessageKind.DISPATCH, bytes));
        }
    }

    /** Passes a decision of this primary on to the host of the run. */
    private void decided(DispatchAction.Decision decision) {
        HostId origin = decision.run().origin();
        if (origin.equals(self)) {
            deliver(decision, true);
            return;
        }
        byte[] bytes = codec.encode(new DispatchMessage.FromPrimary(decision));
        peers.send(origin, MessageKind.DISPATCH, bytes);
    }

    private void applyFallback(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            switch (action) {
                case DispatchAction.Decision decision -> deliver(decision, false);
                case DispatchAction.QuarantineChanged changed -> reportCrashes();
                case DispatchAction.Note note -> log.accept(note.line() + " by=own");
            }
        }
    }

    private void deliver(DispatchAction.Decision decision, boolean byPrimary) {
        PendingPlacement placement = pending.get(decision.run());
        switch (decision) {
            case DispatchAction.Queued queued -> {
                if (byPrimary && placement != null && placement.atPrimary) {
                    queuedByPrimary(queued.run(), placement);
                }
            }
            case DispatchAction.Refuse refuse -> {
                if (placement != null) {
                    refuse(refuse, placement, byPrimary);
                }
            }
            case DispatchAction.Grant grant -> grant(grant, placement, byPrimary);
        }
    }

    /** Leaves a placement to the primary, which responds again and counts all hosts' runs. */
    private void queuedByPrimary(RunKey run, PendingPlacement placement) {
        placement.queuedByPrimary();
        if (placement.atFallback) {
            placement.atFallback = false;
            applyFallback(fallback.on(clock.getAsLong(), new DispatchEvent.Withdrawn(run)));
        }
    }

    private void refuse(
            DispatchAction.Refuse refuse, PendingPlacement placement, boolean byPrimary) {
        if (byPrimary) {
            if (placement.atPrimary) {
                placement.atPrimary = false;
                endRefused(refuse, placement);
            }
            return;
        }
        long nowNanos = clock.getAsLong();
        placement.atFallback = false;
        boolean held = refuse.reason() == DispatchAction.Reason.HELD;
        if (!held && awaitsPrimary(refuse.run(), placement, nowNanos)) {
            placement.refusedByFallback(refuse, nowNanos);
        } else {
            endRefused(refuse, placement);
        }
    }

    private void endRefused(DispatchAction.Refuse refuse, PendingPlacement placement) {
        pending.remove(refuse.run());
        withdraw(refuse.run(), placement);
        placement.listener.refused(refuse.run(), refuse.reason(), refuse.retryAfterMillis());
    }

    /**
     * Returns whether the primary, which may only have paused, can still grant what the fallback
     * refused. Requests it there if that was not done yet.
     */
    private boolean awaitsPrimary(RunKey run, PendingPlacement placement, long nowNanos) {
        if (primary.isSelf()) {
            return placement.atPrimary;
        }
        boolean lost = placement.queued ? primary.isGone(nowNanos) : primary.isLost(nowNanos);
        if (primary.id().isEmpty() || lost || !placement.mayAwaitPrimary(nowNanos)) {
            return false;
        }
        return placement.atPrimary || requestAtPrimary(run, placement, nowNanos);
    }

    /** Ends the placements that the fallback refused and the primary has not decided in time. */
    private void endRefused(long nowNanos) {
        for (PendingPlacement placement : List.copyOf(pending.values())) {
            long waitNanos = placement.queued ? PrimaryLink.GONE_NANOS : PrimaryLink.LOST_NANOS;
            placement
                    .refusalAfter(waitNanos, nowNanos)
                    .filter(refusal -> pending.get(refusal.run()) == placement)
                    .ifPresent(refusal -> endRefused(refusal, placement));
        }
    }

    private static boolean isRequested(PendingPlacement placement, boolean byPrimary) {
        return placement != null && (byPrimary ? placement.atPrimary : placement.atFallback);
    }

    private void grant(DispatchAction.Grant grant, PendingPlacement placement, boolean byPrimary) {
        if (!isRequested(placement, byPrimary)) {
            if (byPrimary && !active.containsKey(grant.run())) {
                reportToPrimary(new DispatchEvent.Withdrawn(grant.run()));
            }
            return;
        }
        pending.remove(grant.run());
        long nowNanos = clock.getAsLong();
        PlacementRequest request = placement.agedRequest(nowNanos);
        boolean watched = grant.watched() || fallback.isSuspected(request.content());
        active.put(
                grant.run(), new Active(request.withoutQuota(), grant.server(), nowNanos, watched));
        if (byPrimary) {
            if (placement.atFallback) {
                applyFallback(fallback.on(nowNanos, new DispatchEvent.Withdrawn(grant.run())));
            }
            PlacementRequest unchargedRequest = request.withoutQuota();
            applyFallback(
                    fallback.on(
                            nowNanos,
                            new DispatchEvent.Placed(
                                    grant.run(), unchargedRequest, grant.server())));
        } else {
            reportToPrimary(new DispatchEvent.Placed(grant.run(), request, grant.server()));
        }
        String grantedBy = byPrimary ? (primary.isSelf() ? "self" : "home") : "own";
        placement.listener.granted(
                grant.run(), grant.server(), "by=" + grantedBy + " " + grant.why());
    }

    /** Returns whether requests wait for a slot: this host's or, at the primary, any host's. */
    boolean isPlacing() {
        return !pending.isEmpty() || primaryScheduler.waiting() > 0 || fallback.waiting() > 0;
    }

    /** Does the work that is due. Call every 20 ms while requests wait, else every 100 ms. */
    void tick() {
        long nowNanos = clock.getAsLong();
        updatePrimaryShare();
        if (primary.isSelf()) {
            applyPrimary(primaryScheduler.on(nowNanos, new DispatchEvent.Tick()));
            primaryScheduler.rollouts().forEach(this::record);
        }
        applyFallback(
                fallback.on(nowNanos, new DispatchEvent.QuarantineDuty(!primary.isResponsive())));
        applyFallback(fallback.on(nowNanos, new DispatchEvent.Tick()));
        if (!primary.isSelf()) {
            checkPrimary(nowNanos);
            endRefused(nowNanos);
            follow(nowNanos);
            resendRequests(nowNanos);
        }
    }

    private void resendRequests(long nowNanos) {
        pending.forEach(
                (run, placement) -> {
                    long sinceNanos = nowNanos - placement.requestedNanos;
                    boolean due = sinceNanos > RESEND_MILLIS * NANOS_PER_MILLI;
                    if (primary.acceptsRequests(nowNanos)
                            && placement.atPrimary
                            && placement.queued
                            && due) {
                        placement.requestedNanos = nowNanos;
                        var unused =
                                sendToPrimary(
                                        new DispatchEvent.PlacementRequested(
                                                run, placement.requestToPrimary(nowNanos)));
                    }
                });
    }

    /** Sends the primary a follow message, unless a recent request already served as one. */
    private void follow(long nowNanos) {
        if (primary.isFollowDue(nowNanos)) {
            primary.messageSent(nowNanos);
            byte[] bytes = codec.encode(new DispatchMessage.Follow());
            peers.send(primary.id().orElseThrow(), MessageKind.DISPATCH, bytes);
        }
    }

    /** Logs and records the state of a rollout if it changed. */
    private void record(RolloutView rollout) {
        LoggedState now = new LoggedState(rollout.outcome(), rollout.step());
        LoggedState before = loggedStates.put(rollout.order(), now);
        if (now.equals(before)) {
            return;
        }
        log.accept(
                "event=move order=%s outcome=%s %s"
                        .formatted(rollout.order(), rollout.outcome(), rollout.evidence().get()));
        if (before == null || before.outcome != rollout.outcome()) {
            recorder.accept(rollout.order(), rollout.outcome());
        }
    }

    /** Sets a callback for each request sent to the primary, whose response may be overdue. */
    void onRequestSent(Runnable newOnRequestSent) {
        onRequestSent = newOnRequestSent;
    }

    /** Sets a callback for each report of pools that another host can't reach. */
    void onPoolsUnreachable(BiConsumer<HostId, Set<ServiceId>> newOnPoolsUnreachable) {
        onPoolsUnreachable = newOnPoolsUnreachable;
    }

    /** Sets the recorder of rollout outcomes. */
    void recorder(BiConsumer<RolloutOrder, RolloutOutcome> newRecorder) {
        recorder = newRecorder;
    }

    /** Takes the outcome of a rollout as recorded in the store. */
    void rolloutRecorded(RolloutOrder order, RolloutOutcome outcome) {
        feed.recorded(order, outcome);
        long nowNanos = clock.getAsLong();
        DispatchEvent settled = new DispatchEvent.RolloutSettled(order, outcome);
        applyFallback(fallback.on(nowNanos, settled));
        applyPrimary(primaryScheduler.on(nowNanos, settled));
    }

    private void checkPrimary(long nowNanos) {
        boolean stalled = nowNanos - tickedNanos > STALL_MILLIS * NANOS_PER_MILLI;
        tickedNanos = nowNanos;
        if (stalled) {
            return;
        }
        List<RunKey> overdue = new ArrayList<>();
        for (Map.Entry<RunKey, PendingPlacement> entry : pending.entrySet()) {
            if (isOverdue(entry.getValue(), nowNanos)) {
                overdue.add(entry.getKey());
            }
        }
        if (!overdue.isEmpty() && primary.markSilent(nowNanos)) {
            fleetChanged();
        }
        for (RunKey run : overdue) {
            PendingPlacement placement = pending.get(run);
            if (placement != null && isOverdue(placement, nowNanos)) {
                placeLocally(run, placement, nowNanos);
            }
        }
    }

    private boolean isOverdue(PendingPlacement placement, long nowNanos) {
        if (!placement.isAtPrimaryOnly()) {
            return false;
        }
        if (placement.queued) {
            return primary.isLost(nowNanos);
        }
        return nowNanos - placement.requestedNanos > PRIMARY_RESPONSE_MILLIS * NANOS_PER_MILLI;
    }

    /** Chooses the primary and updates the shares after a change of the membership view. */
    void fleetChanged() {
        boolean wasPrimary = primary.isSelf();
        boolean primaryChanged = primary.choose(clock.getAsLong());
        updateShares();
        if (wasPrimary && !primary.isSelf() && fleet.isLeaving() && primary.id().isPresent()) {
            handOverQuotas();
        }
        if (primaryChanged) {
            primaryChanged();
        }
    }

    private void updateShares() {
        long nowNanos = clock.getAsLong();
        double quotaUsers = fleet.quotaUserCount();
        double slotShare = Math.min(1, 2 / quotaUsers);
        var unused =
                fallback.on(
                        nowNanos,
                        new DispatchEvent.ShareChanged(
                                slotShare, 1 / quotaUsers, fleet.knownHosts()));
        quotaShare = 0;
        updatePrimaryShare();
    }

    /** Sets the primary's share of all quotas: the parts of this host and of its followers. */
    private void updatePrimaryShare() {
        long nowNanos = clock.getAsLong();
        double share = Math.min(1, (1.0 + followers.count(nowNanos)) / fleet.quotaUserCount());
        if (share != quotaShare) {
            quotaShare = share;
            applyPrimary(primaryScheduler.on(nowNanos, new DispatchEvent.ShareChanged(1, share)));
        }
    }

    private void primaryChanged() {
        long nowNanos = clock.getAsLong();
        log.accept(
                "event=home_moved home=%s live=%d known=%d waiting=%d running=%d"
                        .formatted(
                                primary.name(),
                                fleet.live().size(),
                                fleet.quotaUserCount(),
                                pending.size(),
                                active.size()));
        if (primary.isSelf()) {
            loggedStates.clear();
            double fill =
                    !hasFollowed && fleet.startedTogether() ? FLEET_RESTART_FILL : INITIAL_FILL;
            primaryScheduler = newPrimary(fill);
            var unused = feed.replay(primaryScheduler, true, nowNanos);
            updateShares();
            handOver.becamePrimary(nowNanos);
            takeOverQuotas();
        }
        hasFollowed |= primary.id().isPresent() && !primary.isSelf();
        replayState();
        if (primary.isSelf()) {
            // Hosts that chose this one before it chose itself sent their state too early.
            byte[] started = codec.encode(new DispatchMessage.PrimaryStarted());
            fleet.others().forEach(host -> peers.send(host, MessageKind.DISPATCH, started));
        }
        for (Map.Entry<RunKey, PendingPlacement> entry : List.copyOf(pending.entrySet())) {
            PendingPlacement placement = entry.getValue();
            if (placement.atPrimary && pending.containsKey(entry.getKey())) {
                place(entry.getKey(), placement, nowNanos);
            }
        }
    }

    /** Replays to the primary what only this host has: server notices, observations and runs. */
    private void replayState() {
        long nowNanos = clock.getAsLong();
        notices.leaving().forEach(server -> reportToPrimary(leaving(server)));
        notices.reports(nowNanos).forEach(this::reportToPrimary);
        fallback.reports(self, nowNanos).forEach(this::reportToPrimary);
        active.forEach(
                (run, placed) ->
                        reportToPrimary(
                                new DispatchEvent.Placed(
                                        run,
                                        placed.request.aged(
                                                (nowNanos - placed.sinceNanos) / NANOS_PER_MILLI),
                                        placed.server)));
    }

    /** Reports to the primary what this host knows of crashes and quarantined content. */
    private void reportCrashes() {
        reportToPrimary(fallback.crashReport(self, clock.getAsLong()));
    }

    /** Returns how many servers have a state that limits what they may be sent. */
    LimitCounts limitCounts() {
        Scheduler scheduler = primary.isSelf() ? primaryScheduler : fallback;
        return scheduler.limitCounts(clock.getAsLong());
    }

    /** Returns what is quarantined, as far as this host knows. */
    List<CrashReport.Held> held() {
        long nowNanos = clock.getAsLong();
        return primary.isSelf() ? primaryScheduler.held(nowNanos) : fallback.held(nowNanos);
    }

    /**
     * Returns the number of paced servers: at the primary of all hosts, else of this host alone.
     */
    int pacedServers() {
        return primary.isSelf() ? primaryScheduler.pacedServers() : fallback.pacedServers();
    }

    /** Releases something that is quarantined, on all hosts. */
    void release(Suspect suspect) {
        notifySchedulers(new DispatchEvent.ReleaseOrdered(suspect));
    }

    void hostDied(HostId host) {
        followers.remove(host);
        applyPrimary(primaryScheduler.on(clock.getAsLong(), new DispatchEvent.HostGone(host)));
    }

    /** Takes a change of the configuration or the servers. */
    void catalogChanged(CatalogSnapshot newer) {
        long nowNanos = clock.getAsLong();
        feed.catalogChanged(newer, nowNanos);
        notices.serversChanged(newer.servers());
        applyFallback(feed.replay(fallback, false, nowNanos));
        applyPrimary(feed.replay(primaryScheduler, true, nowNanos));
    }

    /** Returns the server with an id; empty if the snapshot has none. */
    Optional<PoolServer> server(ServerId id) {
        return feed.server(id);
    }

    /** Returns the primary's name for the log; "none" while there is no primary. */
    String primaryName() {
        return primary.name();
    }
}

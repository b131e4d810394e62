package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.HashMap;
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
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchCodec;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.DispatchMessage;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.Scheduler;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/**
 * Gets places for this host's requests: from the primary of the pools, or, while that is silent,
 * from a scheduler of its own that knows this host's runs only.
 */
final class Dispatcher {
    /**
     * The primary answers each request at once; a few round trips and a busy moment fit in this.
     */
    private static final long PRIMARY_ANSWER_MILLIS = 60;

    /**
     * A request that waits at the primary is sent again at this interval: its grant may be lost.
     */
    private static final long RESEND_MILLIS = 500;

    /** A scheduler that begins does not know what was used before. */
    private static final double FIRST_FILL = 0.05;

    /**
     * While all hosts were down, quotas filled up; the first primary gives that out, and no other.
     */
    private static final double RESTART_FILL = 0.7;

    /** After a pause of this host's own, answers may wait unread; they come before judgement. */
    private static final long LATE_TICK_MILLIS = 45;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier clock;
    private final HostId self;
    private final PeerPort peers;
    private final FleetView fleet;
    private final Consumer<String> log;
    private final DispatchCodec codec = new DispatchCodec();
    private final Map<RunKey, Pending> pending = new HashMap<>();
    private final Map<RunKey, Active> active = new HashMap<>();
    private final Followers followers = new Followers();
    private final Quotas.Slack slack;
    private final RolloutPolicy rolloutPolicy;
    private final ServerNotices notices = new ServerNotices();
    private final CatalogFeed feed = new CatalogFeed();
    private final Map<RolloutOrder, Told> told = new HashMap<>();
    private final Scheduler own;
    private Scheduler asPrimary;
    private final PrimaryLink primary;
    private BiConsumer<RolloutOrder, RolloutOutcome> recorder = (order, outcome) -> {};
    private Runnable whenRequested = () -> {};
    private final QuotaHandOver handOver = new QuotaHandOver();
    private boolean followed;
    private long tickedNanos;
    private double quotaShare;

    /** Who wants a place. */
    interface PlacementListener {
        /** Send the request to the server. */
        void granted(RunKey run, ServerId server, String why);

        /** The request is turned away. */
        void refused(RunKey run, DispatchAction.Reason reason, long retryAfterMillis);
    }

    private static final class Pending {
        private final PlacementRequest request;
        private final PlacementListener listener;
        private final long sinceNanos;
        private long requestedNanos;
        private boolean atPrimary;
        private boolean queued;

        Pending(PlacementRequest request, PlacementListener listener, long sinceNanos) {
            this.request = request;
            this.listener = listener;
            this.sinceNanos = sinceNanos;
        }

        PlacementRequest agedRequest(long nowNanos) {
            return request.aged((nowNanos - sinceNanos) / NANOS_PER_MILLI);
        }
    }

    /** The state of a rollout that was logged last. */
    private record Told(RolloutOutcome outcome, int step) {}

    private record Active(PlacementRequest request, ServerId server, long sinceNanos) {}

    Dispatcher(
            HostId self,
            PeerPort peers,
            FleetView fleet,
            Quotas.Slack slack,
            RolloutPolicy rolloutPolicy,
            LongSupplier clock,
            Consumer<String> log) {
        this.clock = clock;
        this.self = self;
        this.slack = slack;
        this.rolloutPolicy = rolloutPolicy;
        this.own = new Scheduler(FIRST_FILL, slack, Quotas.Role.FALLBACK, rolloutPolicy);
        this.asPrimary = newPrimary(FIRST_FILL);
        this.peers = peers;
        this.fleet = fleet;
        this.primary = new PrimaryLink(self, fleet, log);
        this.log = log;
    }

    private Scheduler newPrimary(double fill) {
        return new Scheduler(fill, slack, Quotas.Role.PRIMARY, rolloutPolicy);
    }

    /** Asks for a place; the answer may come before this returns. */
    void place(RunKey run, PlacementRequest request, PlacementListener listener) {
        long nowNanos = clock.getAsLong();
        Pending wanted = new Pending(request, listener, nowNanos);
        pending.put(run, wanted);
        place(run, wanted, request, nowNanos);
    }

    private void place(RunKey run, Pending wanted, PlacementRequest request, long nowNanos) {
        wanted.requestedNanos = nowNanos;
        wanted.queued = false;
        if (primary.isSelf()) {
            wanted.atPrimary = true;
            fromPrimary(asPrimary.on(nowNanos, new DispatchEvent.PlacementRequested(run, request)));
            return;
        }
        if (primary.acceptsRequests(nowNanos)) {
            wanted.atPrimary = true;
            if (toPrimary(new DispatchEvent.PlacementRequested(run, request))) {
                primary.requested(nowNanos);
                whenRequested.run();
                return;
            }
        }
        wanted.atPrimary = false;
        fromOwn(own.on(nowNanos, new DispatchEvent.PlacementRequested(run, request)));
    }

    /** Wants no place any more. */
    void withdraw(RunKey run) {
        Pending wanted = pending.remove(run);
        if (wanted == null) {
            return;
        }
        DispatchEvent event = new DispatchEvent.Withdrawn(run);
        if (wanted.atPrimary) {
            reportToPrimary(event);
        } else {
            fromOwn(own.on(clock.getAsLong(), event));
        }
    }

    /** A run's first event came, in an answer that says this of its server's limit. */
    void first(RunKey run, long firstMillis, StatedLimit limit) {
        tellAll(new DispatchEvent.First(run, firstMillis, limit));
    }

    /** A run ended. */
    void ended(RunKey run, RunReport report) {
        if (active.remove(run) != null) {
            tellAll(new DispatchEvent.Ended(run, report));
        }
    }

    /** Returns the servers that want nothing from this host now. */
    Set<ServerId> avoided() {
        return notices.avoided(clock.getAsLong());
    }

    /** Returns whether a server leaves, or wants nothing from this host now. */
    boolean avoids(PoolServer server) {
        return server.draining() || notices.avoids(server, clock.getAsLong());
    }

    /** Takes what an answer says of its server, and returns what is new in it. */
    ServerNotices.News noticed(PoolServer server, ResponseHeaders responseHeaders) {
        ServerNotices.News news = notices.note(server, responseHeaders, clock.getAsLong());
        if (news.leaves()) {
            tellAll(leaving(server));
        }
        return news;
    }

    private static DispatchEvent leaving(PoolServer server) {
        return new DispatchEvent.ServerLeaving(server.id(), server.startMillis());
    }

    private void tellAll(DispatchEvent event) {
        reportToPrimary(event);
        fromOwn(own.on(clock.getAsLong(), event));
    }

    private void reportToPrimary(DispatchEvent event) {
        if (primary.isSelf()) {
            fromPrimary(asPrimary.on(clock.getAsLong(), event));
        } else if (primary.id().isPresent()) {
            toPrimary(event);
        }
    }

    private boolean toPrimary(DispatchEvent event) {
        byte[] bytes = codec.encode(new DispatchMessage.ToPrimary(event));
        return peers.send(primary.id().orElseThrow(), MessageKind.DISPATCH, bytes);
    }

    /** Takes a message of a peer. */
    void received(HostId from, byte[] body) throws BadMessageException {
        switch (codec.decode(body)) {
            case DispatchMessage.ToPrimary to -> receivedAsPrimary(from, to.event());
            case DispatchMessage.Follow follows -> followedBy(from);
            case DispatchMessage.PrimaryStarted begins -> {
                if (primary.id().equals(Optional.of(from))) {
                    tellWhatIsKnown();
                }
            }
            case DispatchMessage.FromPrimary answer -> {
                primary.answered(from, clock.getAsLong());
                deliver(answer.action(), true);
            }
        }
    }

    private void receivedAsPrimary(HostId from, DispatchEvent event) {
        if (event instanceof DispatchEvent.QuotasHanded handed) {
            handOver.received(handed, clock.getAsLong());
            takeOverQuotas();
            return;
        }
        if (event instanceof DispatchEvent.PlacementRequested) {
            followedBy(from);
        }
        fromPrimary(asPrimary.on(clock.getAsLong(), event));
    }

    private void takeOverQuotas() {
        long nowNanos = clock.getAsLong();
        if (primary.isSelf()) {
            handOver.take(nowNanos).ifPresent(handed -> takeOver(handed, nowNanos));
        }
    }

    private void takeOver(DispatchEvent.QuotasHanded handed, long nowNanos) {
        log.accept("event=quotas_taken_over workspaces=" + handed.parts().size());
        fromPrimary(asPrimary.on(nowNanos, handed));
    }

    /** Hands the next primary what this one, which leaves, has left of quotas. */
    private void handOverQuotas() {
        DispatchEvent.QuotasHanded handed = asPrimary.handOverQuotas(clock.getAsLong());
        boolean sent = toPrimary(handed);
        log.accept(
                "event=quotas_handed_over home=%s workspaces=%d sent=%s"
                        .formatted(primary.name(), handed.parts().size(), sent));
    }

    private void followedBy(HostId host) {
        followers.heard(host, clock.getAsLong());
        shareAsPrimary();
    }

    private void fromPrimary(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            if (action.run().origin().equals(self)) {
                deliver(action, true);
            } else {
                byte[] bytes = codec.encode(new DispatchMessage.FromPrimary(action));
                peers.send(action.run().origin(), MessageKind.DISPATCH, bytes);
            }
        }
    }

    private void fromOwn(List<DispatchAction> actions) {
        actions.forEach(action -> deliver(action, false));
    }

    private void deliver(DispatchAction action, boolean byPrimary) {
        Pending wanted = pending.get(action.run());
        switch (action) {
            case DispatchAction.Queued queued -> {
                if (wanted != null && wanted.atPrimary == byPrimary) {
                    wanted.queued = true;
                }
            }
            case DispatchAction.Refuse refuse -> {
                if (wanted != null && wanted.atPrimary == byPrimary) {
                    pending.remove(refuse.run());
                    wanted.listener.refused(
                            refuse.run(), refuse.reason(), refuse.retryAfterMillis());
                }
            }
            case DispatchAction.Grant grant -> grant(grant, wanted, byPrimary);
        }
    }

    private void grant(DispatchAction.Grant grant, Pending wanted, boolean byPrimary) {
        if (wanted == null || wanted.atPrimary != byPrimary) {
            if (byPrimary && !active.containsKey(grant.run())) {
                reportToPrimary(new DispatchEvent.Withdrawn(grant.run()));
            }
            return;
        }
        pending.remove(grant.run());
        long nowNanos = clock.getAsLong();
        PlacementRequest request = wanted.agedRequest(nowNanos);
        active.put(grant.run(), new Active(request.withoutQuota(), grant.server(), nowNanos));
        if (byPrimary) {
            PlacementRequest paid = request.withoutQuota();
            fromOwn(own.on(nowNanos, new DispatchEvent.Placed(grant.run(), paid, grant.server())));
        } else {
            reportToPrimary(new DispatchEvent.Placed(grant.run(), request, grant.server()));
        }
        String by = byPrimary ? (primary.isSelf() ? "self" : "home") : "own";
        wanted.listener.granted(grant.run(), grant.server(), "by=" + by + " " + grant.why());
    }

    /** Returns whether requests wait for a place, this host's or, at the primary, others'. */
    boolean isPlacing() {
        return !pending.isEmpty() || asPrimary.waiting() > 0 || own.waiting() > 0;
    }

    /** Does what is due; to be called every 20 ms while requests wait, and every 100 ms else. */
    void tick() {
        long nowNanos = clock.getAsLong();
        shareAsPrimary();
        if (primary.isSelf()) {
            fromPrimary(asPrimary.on(nowNanos, new DispatchEvent.Tick()));
            asPrimary.rollouts().forEach(this::record);
        }
        fromOwn(own.on(nowNanos, new DispatchEvent.Tick()));
        if (!primary.isSelf()) {
            checkPrimary(nowNanos);
            follow(nowNanos);
            resendRequests(nowNanos);
        }
    }

    private void resendRequests(long nowNanos) {
        pending.forEach(
                (run, wanted) -> {
                    long sinceNanos = nowNanos - wanted.requestedNanos;
                    boolean due = sinceNanos > RESEND_MILLIS * NANOS_PER_MILLI;
                    if (primary.acceptsRequests(nowNanos)
                            && wanted.atPrimary
                            && wanted.queued
                            && due) {
                        wanted.requestedNanos = nowNanos;
                        var unused =
                                toPrimary(
                                        new DispatchEvent.PlacementRequested(
                                                run, wanted.agedRequest(nowNanos)));
                    }
                });
    }

    /** Tells the primary that this host looks to it, unless it just did so by a request. */
    private void follow(long nowNanos) {
        if (primary.isTellDue(nowNanos)) {
            primary.requested(nowNanos);
            byte[] bytes = codec.encode(new DispatchMessage.Follow());
            peers.send(primary.id().orElseThrow(), MessageKind.DISPATCH, bytes);
        }
    }

    /** Has the state of a rollout recorded where it is new. */
    private void record(Scheduler.RolloutView rollout) {
        Told now = new Told(rollout.outcome(), rollout.step());
        Told before = told.put(rollout.order(), now);
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

    /**
     * Takes what is called when the primary was sent a request, which it may not answer in time.
     */
    void whenRequested(Runnable newWhenRequested) {
        whenRequested = newWhenRequested;
    }

    /** Takes what records outcomes of rollouts. */
    void recorder(BiConsumer<RolloutOrder, RolloutOutcome> newRecorder) {
        recorder = newRecorder;
    }

    /** The store holds an outcome of a rollout. */
    void recorded(RolloutOrder order, RolloutOutcome outcome) {
        feed.recorded(order, outcome);
        long nowNanos = clock.getAsLong();
        DispatchEvent settled = new DispatchEvent.RolloutSettled(order, outcome);
        fromOwn(own.on(nowNanos, settled));
        fromPrimary(asPrimary.on(nowNanos, settled));
    }

    private void checkPrimary(long nowNanos) {
        boolean delayed = nowNanos - tickedNanos > LATE_TICK_MILLIS * NANOS_PER_MILLI;
        tickedNanos = nowNanos;
        if (delayed) {
            return;
        }
        List<RunKey> overdue = new ArrayList<>();
        for (Map.Entry<RunKey, Pending> entry : pending.entrySet()) {
            if (isOverdue(entry.getValue(), nowNanos)) {
                overdue.add(entry.getKey());
            }
        }
        if (!overdue.isEmpty() && primary.noteSilence(nowNanos)) {
            fleetChanged();
        }
        for (RunKey run : overdue) {
            Pending wanted = pending.get(run);
            if (wanted != null && isOverdue(wanted, nowNanos)) {
                placeWithoutPrimary(run, wanted, nowNanos);
            }
        }
    }

    private void placeWithoutPrimary(RunKey run, Pending wanted, long nowNanos) {
        reportToPrimary(new DispatchEvent.Withdrawn(run));
        wanted.atPrimary = false;
        wanted.queued = false;
        fromOwn(
                own.on(
                        nowNanos,
                        new DispatchEvent.PlacementRequested(run, wanted.agedRequest(nowNanos))));
    }

    private boolean isOverdue(Pending wanted, long nowNanos) {
        if (!wanted.atPrimary) {
            return false;
        }
        if (wanted.queued) {
            return primary.isLost(nowNanos);
        }
        return nowNanos - wanted.requestedNanos > PRIMARY_ANSWER_MILLIS * NANOS_PER_MILLI;
    }

    /** The membership view changed. */
    void fleetChanged() {
        boolean wasPrimary = primary.isSelf();
        boolean moved = primary.choose(clock.getAsLong());
        share();
        if (wasPrimary && !primary.isSelf() && fleet.isLeaving() && primary.id().isPresent()) {
            handOverQuotas();
        }
        if (moved) {
            primaryMoved();
        }
    }

    private void share() {
        long nowNanos = clock.getAsLong();
        double known = fleet.known();
        double ownPlaces = Math.min(1, 2 / known);
        var unused = own.on(nowNanos, new DispatchEvent.ShareChanged(ownPlaces, 1 / known));
        quotaShare = 0;
        shareAsPrimary();
    }

    /** Gives out, as the primary, the parts of quotas of this host and of those that follow it. */
    private void shareAsPrimary() {
        long nowNanos = clock.getAsLong();
        double quota = Math.min(1, (1.0 + followers.count(nowNanos)) / fleet.known());
        if (quota != quotaShare) {
            quotaShare = quota;
            fromPrimary(asPrimary.on(nowNanos, new DispatchEvent.ShareChanged(1, quota)));
        }
    }

    private void primaryMoved() {
        long nowNanos = clock.getAsLong();
        log.accept(
                "event=home_moved home=%s live=%d known=%d waiting=%d running=%d"
                        .formatted(
                                primary.name(),
                                fleet.live().size(),
                                fleet.known(),
                                pending.size(),
                                active.size()));
        if (primary.isSelf()) {
            told.clear();
            double fill = !followed && fleet.startedTogether() ? RESTART_FILL : FIRST_FILL;
            asPrimary = newPrimary(fill);
            var unused = feed.to(asPrimary, true, nowNanos);
            share();
            handOver.begin(nowNanos);
            takeOverQuotas();
        }
        followed |= primary.id().isPresent() && !primary.isSelf();
        tellWhatIsKnown();
        if (primary.isSelf()) {
            // Those who chose this host before it did so itself told what they know too early.
            byte[] started = codec.encode(new DispatchMessage.PrimaryStarted());
            fleet.others().forEach(host -> peers.send(host, MessageKind.DISPATCH, started));
        }
        for (Map.Entry<RunKey, Pending> entry : List.copyOf(pending.entrySet())) {
            Pending wanted = entry.getValue();
            if (wanted.atPrimary && pending.containsKey(entry.getKey())) {
                place(entry.getKey(), wanted, wanted.agedRequest(nowNanos), nowNanos);
            }
        }
    }

    /** Tells the primary what only this host knows: servers' words, its runs, what it saw. */
    private void tellWhatIsKnown() {
        long nowNanos = clock.getAsLong();
        notices.leaving().forEach(server -> reportToPrimary(leaving(server)));
        notices.limits(nowNanos).forEach(this::reportToPrimary);
        own.reports(self, nowNanos).forEach(this::reportToPrimary);
        active.forEach(
                (run, at) ->
                        reportToPrimary(
                                new DispatchEvent.Placed(
                                        run,
                                        at.request.aged(
                                                (nowNanos - at.sinceNanos) / NANOS_PER_MILLI),
                                        at.server)));
    }

    void hostDied(HostId host) {
        followers.gone(host);
        fromPrimary(asPrimary.on(clock.getAsLong(), new DispatchEvent.HostGone(host)));
    }

    /** The configuration or the servers changed. */
    void changed(CatalogSnapshot newer) {
        long nowNanos = clock.getAsLong();
        feed.changed(newer, nowNanos);
        notices.changed(newer.servers());
        fromOwn(feed.to(own, false, nowNanos));
        fromPrimary(feed.to(asPrimary, true, nowNanos));
    }

    /** Returns the server with an id, where it is known. */
    Optional<PoolServer> server(ServerId id) {
        return feed.server(id);
    }

    /** Returns one word on who is the primary, for the log. */
    String primaryName() {
        return primary.name();
    }
}

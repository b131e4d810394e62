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
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.Ask;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchCodec;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.DispatchMessage;
import org.orioleshed.dispatch.MovePolicy;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RunEnd;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.Scheduler;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/**
 * Gets places for this host's requests: from the home of the pools, or, while that is silent, from
 * a scheduler of its own that knows this host's runs only.
 */
final class Dispatcher {
    /** The home answers each ask at once; a few round trips and a busy moment fit in this. */
    private static final long HOME_ANSWER_MILLIS = 60;

    /** Who waits at the home asks again at this interval: its grant may be lost. */
    private static final long ASK_AGAIN_MILLIS = 500;

    /** A scheduler that begins does not know what was used before. */
    private static final double FIRST_FILL = 0.05;

    /** While all hosts were down, quotas filled up; the first home gives that out, and no other. */
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
    private final MovePolicy movePolicy;
    private final ServerNotices notices = new ServerNotices();
    private final CatalogFeed feed = new CatalogFeed();
    private final Map<MoveOrder, Told> told = new HashMap<>();
    private final Scheduler own;
    private Scheduler asHome;
    private final HomeLink home;
    private BiConsumer<MoveOrder, MoveOutcome> recorder = (order, outcome) -> {};
    private Runnable whenAsked = () -> {};
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
        private final Ask ask;
        private final PlacementListener placee;
        private final long sinceNanos;
        private long askedNanos;
        private boolean atHome;
        private boolean queued;

        Pending(Ask ask, PlacementListener placee, long sinceNanos) {
            this.ask = ask;
            this.placee = placee;
            this.sinceNanos = sinceNanos;
        }

        Ask askNow(long nowNanos) {
            return ask.again((nowNanos - sinceNanos) / NANOS_PER_MILLI);
        }
    }

    /** The state of a move that was logged last. */
    private record Told(MoveOutcome outcome, int step) {}

    private record Active(Ask ask, ServerId server, long sinceNanos) {}

    Dispatcher(
            HostId self,
            PeerPort peers,
            FleetView fleet,
            Quotas.Slack slack,
            MovePolicy movePolicy,
            LongSupplier clock,
            Consumer<String> log) {
        this.clock = clock;
        this.self = self;
        this.slack = slack;
        this.movePolicy = movePolicy;
        this.own = new Scheduler(FIRST_FILL, slack, Quotas.Giver.STAND_IN, movePolicy);
        this.asHome = newHome(FIRST_FILL);
        this.peers = peers;
        this.fleet = fleet;
        this.home = new HomeLink(self, fleet, log);
        this.log = log;
    }

    private Scheduler newHome(double fill) {
        return new Scheduler(fill, slack, Quotas.Giver.HOME, movePolicy);
    }

    /** Asks for a place; the answer may come before this returns. */
    void place(RunKey run, Ask ask, PlacementListener placee) {
        long nowNanos = clock.getAsLong();
        Pending wanted = new Pending(ask, placee, nowNanos);
        pending.put(run, wanted);
        place(run, wanted, ask, nowNanos);
    }

    private void place(RunKey run, Pending wanted, Ask ask, long nowNanos) {
        wanted.askedNanos = nowNanos;
        wanted.queued = false;
        if (home.isSelf()) {
            wanted.atHome = true;
            fromHome(asHome.on(nowNanos, new DispatchEvent.Asked(run, ask)));
            return;
        }
        if (home.mayBeAsked(nowNanos)) {
            wanted.atHome = true;
            if (toHome(new DispatchEvent.Asked(run, ask))) {
                home.asked(nowNanos);
                whenAsked.run();
                return;
            }
        }
        wanted.atHome = false;
        fromOwn(own.on(nowNanos, new DispatchEvent.Asked(run, ask)));
    }

    /** Wants no place any more. */
    void withdraw(RunKey run) {
        Pending wanted = pending.remove(run);
        if (wanted == null) {
            return;
        }
        DispatchEvent event = new DispatchEvent.Withdrawn(run);
        if (wanted.atHome) {
            tellHome(event);
        } else {
            fromOwn(own.on(clock.getAsLong(), event));
        }
    }

    /** A run's first event came, in an answer that says this of its server's limit. */
    void first(RunKey run, long firstMillis, StatedLimit limit) {
        tellAll(new DispatchEvent.First(run, firstMillis, limit));
    }

    /** A run ended. */
    void ended(RunKey run, RunEnd end) {
        if (active.remove(run) != null) {
            tellAll(new DispatchEvent.Ended(run, end));
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
    ServerNotices.News noticed(PoolServer server, AnswerFacts facts) {
        ServerNotices.News news = notices.note(server, facts, clock.getAsLong());
        if (news.leaves()) {
            tellAll(leaving(server));
        }
        return news;
    }

    private static DispatchEvent leaving(PoolServer server) {
        return new DispatchEvent.ServerLeaving(server.id(), server.bornMillis());
    }

    private void tellAll(DispatchEvent event) {
        tellHome(event);
        fromOwn(own.on(clock.getAsLong(), event));
    }

    private void tellHome(DispatchEvent event) {
        if (home.isSelf()) {
            fromHome(asHome.on(clock.getAsLong(), event));
        } else if (home.id().isPresent()) {
            toHome(event);
        }
    }

    private boolean toHome(DispatchEvent event) {
        byte[] bytes = codec.encode(new DispatchMessage.ToHome(event));
        return peers.send(home.id().orElseThrow(), MessageKind.DISPATCH, bytes);
    }

    /** Takes a message of a peer. */
    void received(HostId from, byte[] body) throws BadMessageException {
        switch (codec.decode(body)) {
            case DispatchMessage.ToHome to -> receivedAsHome(from, to.event());
            case DispatchMessage.Follows follows -> followedBy(from);
            case DispatchMessage.Begins begins -> {
                if (home.id().equals(Optional.of(from))) {
                    tellWhatIsKnown();
                }
            }
            case DispatchMessage.FromHome answer -> {
                home.answered(from, clock.getAsLong());
                deliver(answer.action(), true);
            }
        }
    }

    private void receivedAsHome(HostId from, DispatchEvent event) {
        if (event instanceof DispatchEvent.QuotasHanded handed) {
            handOver.received(handed, clock.getAsLong());
            takeOverQuotas();
            return;
        }
        if (event instanceof DispatchEvent.Asked) {
            followedBy(from);
        }
        fromHome(asHome.on(clock.getAsLong(), event));
    }

    private void takeOverQuotas() {
        long nowNanos = clock.getAsLong();
        if (home.isSelf()) {
            handOver.take(nowNanos).ifPresent(handed -> takeOver(handed, nowNanos));
        }
    }

    private void takeOver(DispatchEvent.QuotasHanded handed, long nowNanos) {
        log.accept("event=quotas_taken_over workspaces=" + handed.parts().size());
        fromHome(asHome.on(nowNanos, handed));
    }

    /** Hands the next home what this one, which leaves, has left of quotas. */
    private void handOverQuotas() {
        DispatchEvent.QuotasHanded handed = asHome.handOverQuotas(clock.getAsLong());
        boolean sent = toHome(handed);
        log.accept(
                "event=quotas_handed_over home=%s workspaces=%d sent=%s"
                        .formatted(home.name(), handed.parts().size(), sent));
    }

    private void followedBy(HostId host) {
        followers.heard(host, clock.getAsLong());
        shareAsHome();
    }

    private void fromHome(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            if (action.run().origin().equals(self)) {
                deliver(action, true);
            } else {
                byte[] bytes = codec.encode(new DispatchMessage.FromHome(action));
                peers.send(action.run().origin(), MessageKind.DISPATCH, bytes);
            }
        }
    }

    private void fromOwn(List<DispatchAction> actions) {
        actions.forEach(action -> deliver(action, false));
    }

    private void deliver(DispatchAction action, boolean byHome) {
        Pending wanted = pending.get(action.run());
        switch (action) {
            case DispatchAction.Queued queued -> {
                if (wanted != null && wanted.atHome == byHome) {
                    wanted.queued = true;
                }
            }
            case DispatchAction.Refuse refuse -> {
                if (wanted != null && wanted.atHome == byHome) {
                    pending.remove(refuse.run());
                    wanted.placee.refused(refuse.run(), refuse.reason(), refuse.retryAfterMillis());
                }
            }
            case DispatchAction.Grant grant -> grant(grant, wanted, byHome);
        }
    }

    private void grant(DispatchAction.Grant grant, Pending wanted, boolean byHome) {
        if (wanted == null || wanted.atHome != byHome) {
            if (byHome && !active.containsKey(grant.run())) {
                tellHome(new DispatchEvent.Withdrawn(grant.run()));
            }
            return;
        }
        pending.remove(grant.run());
        long nowNanos = clock.getAsLong();
        Ask ask = wanted.askNow(nowNanos);
        active.put(grant.run(), new Active(ask.withoutQuota(), grant.server(), nowNanos));
        if (byHome) {
            Ask paid = ask.withoutQuota();
            fromOwn(own.on(nowNanos, new DispatchEvent.Placed(grant.run(), paid, grant.server())));
        } else {
            tellHome(new DispatchEvent.Placed(grant.run(), ask, grant.server()));
        }
        String by = byHome ? (home.isSelf() ? "self" : "home") : "own";
        wanted.placee.granted(grant.run(), grant.server(), "by=" + by + " " + grant.why());
    }

    /** Returns whether requests wait for a place, this host's or, at the home, others'. */
    boolean isPlacing() {
        return !pending.isEmpty() || asHome.waiting() > 0 || own.waiting() > 0;
    }

    /** Does what is due; to be called every 20 ms while requests wait, and every 100 ms else. */
    void tick() {
        long nowNanos = clock.getAsLong();
        shareAsHome();
        if (home.isSelf()) {
            fromHome(asHome.on(nowNanos, new DispatchEvent.Tick()));
            asHome.moves().forEach(this::record);
        }
        fromOwn(own.on(nowNanos, new DispatchEvent.Tick()));
        if (!home.isSelf()) {
            checkHome(nowNanos);
            follow(nowNanos);
            askAgain(nowNanos);
        }
    }

    private void askAgain(long nowNanos) {
        pending.forEach(
                (run, wanted) -> {
                    long sinceNanos = nowNanos - wanted.askedNanos;
                    boolean due = sinceNanos > ASK_AGAIN_MILLIS * NANOS_PER_MILLI;
                    if (home.mayBeAsked(nowNanos) && wanted.atHome && wanted.queued && due) {
                        wanted.askedNanos = nowNanos;
                        var unused = toHome(new DispatchEvent.Asked(run, wanted.askNow(nowNanos)));
                    }
                });
    }

    /** Tells the home that this host looks to it, unless it just did so by asking. */
    private void follow(long nowNanos) {
        if (home.isTellDue(nowNanos)) {
            home.asked(nowNanos);
            byte[] bytes = codec.encode(new DispatchMessage.Follows());
            peers.send(home.id().orElseThrow(), MessageKind.DISPATCH, bytes);
        }
    }

    /** Has the state of a move recorded where it is new. */
    private void record(Scheduler.MoveView move) {
        Told now = new Told(move.outcome(), move.step());
        Told before = told.put(move.order(), now);
        if (now.equals(before)) {
            return;
        }
        log.accept(
                "event=move order=%s outcome=%s %s"
                        .formatted(move.order(), move.outcome(), move.evidence().get()));
        if (before == null || before.outcome != move.outcome()) {
            recorder.accept(move.order(), move.outcome());
        }
    }

    /**
     * Takes what is called when the home was asked for a place, which it may not answer in time.
     */
    void whenAsked(Runnable newWhenAsked) {
        whenAsked = newWhenAsked;
    }

    /** Takes what records outcomes of moves. */
    void recorder(BiConsumer<MoveOrder, MoveOutcome> newRecorder) {
        recorder = newRecorder;
    }

    /** The store holds an outcome of a move. */
    void recorded(MoveOrder order, MoveOutcome outcome) {
        feed.recorded(order, outcome);
        long nowNanos = clock.getAsLong();
        DispatchEvent settled = new DispatchEvent.MoveSettled(order, outcome);
        fromOwn(own.on(nowNanos, settled));
        fromHome(asHome.on(nowNanos, settled));
    }

    private void checkHome(long nowNanos) {
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
        if (!overdue.isEmpty() && home.noteSilence(nowNanos)) {
            fleetChanged();
        }
        for (RunKey run : overdue) {
            Pending wanted = pending.get(run);
            if (wanted != null && isOverdue(wanted, nowNanos)) {
                placeWithoutHome(run, wanted, nowNanos);
            }
        }
    }

    private void placeWithoutHome(RunKey run, Pending wanted, long nowNanos) {
        tellHome(new DispatchEvent.Withdrawn(run));
        wanted.atHome = false;
        wanted.queued = false;
        fromOwn(own.on(nowNanos, new DispatchEvent.Asked(run, wanted.askNow(nowNanos))));
    }

    private boolean isOverdue(Pending wanted, long nowNanos) {
        if (!wanted.atHome) {
            return false;
        }
        if (wanted.queued) {
            return home.isLost(nowNanos);
        }
        return nowNanos - wanted.askedNanos > HOME_ANSWER_MILLIS * NANOS_PER_MILLI;
    }

    /** The membership view changed. */
    void fleetChanged() {
        boolean wasHome = home.isSelf();
        boolean moved = home.choose(clock.getAsLong());
        share();
        if (wasHome && !home.isSelf() && fleet.isLeaving() && home.id().isPresent()) {
            handOverQuotas();
        }
        if (moved) {
            homeMoved();
        }
    }

    private void share() {
        long nowNanos = clock.getAsLong();
        double known = fleet.known();
        double ownPlaces = Math.min(1, 2 / known);
        var unused = own.on(nowNanos, new DispatchEvent.ShareChanged(ownPlaces, 1 / known));
        quotaShare = 0;
        shareAsHome();
    }

    /** Gives out, as the home, the parts of quotas of this host and of those that follow it. */
    private void shareAsHome() {
        long nowNanos = clock.getAsLong();
        double quota = Math.min(1, (1.0 + followers.count(nowNanos)) / fleet.known());
        if (quota != quotaShare) {
            quotaShare = quota;
            fromHome(asHome.on(nowNanos, new DispatchEvent.ShareChanged(1, quota)));
        }
    }

    private void homeMoved() {
        long nowNanos = clock.getAsLong();
        log.accept(
                "event=home_moved home=%s live=%d known=%d waiting=%d running=%d"
                        .formatted(
                                home.name(),
                                fleet.live().size(),
                                fleet.known(),
                                pending.size(),
                                active.size()));
        if (home.isSelf()) {
            told.clear();
            double fill = !followed && fleet.startedTogether() ? RESTART_FILL : FIRST_FILL;
            asHome = newHome(fill);
            var unused = feed.to(asHome, true, nowNanos);
            share();
            handOver.begin(nowNanos);
            takeOverQuotas();
        }
        followed |= home.id().isPresent() && !home.isSelf();
        tellWhatIsKnown();
        if (home.isSelf()) {
            // Those who chose this host before it did so itself told what they know too early.
            byte[] begins = codec.encode(new DispatchMessage.Begins());
            fleet.others().forEach(host -> peers.send(host, MessageKind.DISPATCH, begins));
        }
        for (Map.Entry<RunKey, Pending> entry : List.copyOf(pending.entrySet())) {
            Pending wanted = entry.getValue();
            if (wanted.atHome && pending.containsKey(entry.getKey())) {
                place(entry.getKey(), wanted, wanted.askNow(nowNanos), nowNanos);
            }
        }
    }

    /** Tells the home what only this host knows: servers' words, its runs, what it saw. */
    private void tellWhatIsKnown() {
        long nowNanos = clock.getAsLong();
        notices.leaving().forEach(server -> tellHome(leaving(server)));
        notices.limits(nowNanos).forEach(this::tellHome);
        own.recall(self, nowNanos).forEach(this::tellHome);
        active.forEach(
                (run, at) ->
                        tellHome(
                                new DispatchEvent.Placed(
                                        run,
                                        at.ask.again((nowNanos - at.sinceNanos) / NANOS_PER_MILLI),
                                        at.server)));
    }

    void hostDied(HostId host) {
        followers.gone(host);
        fromHome(asHome.on(clock.getAsLong(), new DispatchEvent.HostGone(host)));
    }

    /** The configuration or the servers changed. */
    void changed(CatalogSnapshot newer) {
        long nowNanos = clock.getAsLong();
        feed.changed(newer, nowNanos);
        notices.changed(newer.servers());
        fromOwn(feed.to(own, false, nowNanos));
        fromHome(feed.to(asHome, true, nowNanos));
    }

    /** Returns the server with an id, where it is known. */
    Optional<PoolServer> server(ServerId id) {
        return feed.server(id);
    }

    /** Returns one word on who is the home, for the log. */
    String homeName() {
        return home.name();
    }
}

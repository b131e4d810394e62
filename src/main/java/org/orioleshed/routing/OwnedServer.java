package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.Offer;
import org.orioleshed.routing.RoutingMessage.RefusalReason;
import org.orioleshed.routing.RoutingMessage.ServerLoad;

/** One backend server on its owner: who waits for it, and who gets its next place. */
final class OwnedServer {
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Places places = new Places();
    private final HoldOff holdOff = new HoldOff();
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final PlaceLimit limit;
    private final Admission admission;
    private final Preemption preemption;
    private final WaitEstimate waits;
    private final ServerRuns runs;
    private final Refusals refusals;
    private final OfferIntake intake;
    private final Grants grants;
    private BackendServer server;
    private Optional<RefusalReason> closed = Optional.empty();

    OwnedServer(RoutingLimits limits, SpeedBook book, Outbox outbox, BackendServer server) {
        ServerId id = server.id();
        AdaptiveLimit adaptive = new AdaptiveLimit(limits, server.places());
        this.outbox = outbox;
        this.server = server;
        queue = new OfferQueue(limits.policy());
        prefixes = new PrefixIndex(server.cacheTokens());
        speed = new ServerSpeed(book, server);
        limit = new PlaceLimit(limits.policy(), adaptive, holdOff, server.places());
        admission = new Admission(limits.policy(), queue, places);
        preemption = new Preemption(limits, queue, places, speed, id);
        waits = new WaitEstimate(limits, queue, places, speed, admission);
        runs = new ServerRuns(limits, id, outbox, places, prefixes, speed, adaptive, holdOff);
        refusals = new Refusals(id, outbox, queue, places, waits, holdOff, limit);
        intake = new OfferIntake(limits, queue, prefixes, speed, preemption, runs, refusals);
        grants = new Grants(limits, id, outbox, queue, places, admission, limit, refusals);
    }

    ServerId id() {
        return server.id();
    }

    BackendServer server() {
        return server;
    }

    /** Takes over a change of the server's settings. */
    void change(BackendServer now) {
        if (!now.version().equals(server.version()) || !now.target().equals(server.target())) {
            prefixes.reset(now.cacheTokens());
            speed.clear();
        }
        server = now;
        speed.setServer(now);
        limit.setPlaces(now.places());
    }

    /** Takes offers from now on. */
    void open() {
        closed = Optional.empty();
    }

    boolean isOpen() {
        return closed.isEmpty();
    }

    /** Takes no more offers and turns down those that wait; what runs goes on. */
    void close(Moment moment, RefusalReason reason) {
        closed = Optional.of(reason);
        refusals.refuseAll(moment, reason);
    }

    /** Returns whether no accepting host waits for anything here. */
    boolean isIdle() {
        return queue.size() == 0 && places.isIdle();
    }

    /** Returns whether nothing waits, runs or has a place reserved. */
    boolean isEmpty() {
        return queue.size() == 0 && places.isEmpty();
    }

    void offered(Moment moment, HostId from, RunId run, Offer offer) {
        if (places.run(run).isPresent() || queue.get(run).isPresent()) {
            return;
        }
        Optional<Places.Reservation> reservation = places.reservation(run);
        if (reservation.isPresent()) {
            grants.repeat(moment, reservation.get());
            return;
        }
        Waiting waiting = intake.waiting(moment, from, run, offer);
        Optional<RefusalReason> refusal = refusal(moment).or(() -> intake.refusal(moment, waiting));
        if (refusal.isPresent()) {
            refusals.refuse(moment, waiting, refusal.get());
            return;
        }
        queue.add(waiting, moment.weight(offer.workspace()));
        admission.offered(waiting.rank(), moment.nowNanos());
        dispatch(moment);
    }

    void withdrawn(Moment moment, RunId run) {
        queue.remove(run);
        places.release(run).ifPresent(unused -> admission.unused(unused.waiting()));
        dispatch(moment);
    }

    void placed(Moment moment, HostId from, RoutingMessage.Placed message) {
        if (places.run(message.run()).isPresent()) {
            return;
        }
        Optional<Places.Reservation> reservation = places.reservation(message.run());
        if (reservation.isEmpty()) {
            queue.remove(message.run());
            RunEnd end = outbox.endOf(message.run()).orElse(new RunEnd.NeverStarted());
            outbox.ended(from, message.run(), end);
            return;
        }
        runs.start(moment.nowNanos(), reservation.get().waiting(), message, server.canResume());
    }

    /** Returns whether the run was here. */
    boolean credit(Moment moment, RunId run, int tokens) {
        return runs.credit(moment.nowNanos(), run, tokens);
    }

    /** Stops a run on the accepting host's wish; returns whether it was here. */
    boolean cancelled(Moment moment, RunId run) {
        if (places.run(run).isPresent()) {
            runs.stop(moment.nowNanos(), places.run(run).get(), Running.Stop.WISHED);
            return true;
        }
        Optional<Waiting> dropped = queue.remove(run);
        if (dropped.isEmpty()) {
            dropped = places.release(run).map(Places.Reservation::waiting);
            dropped.ifPresent(admission::unused);
        }
        dropped.ifPresent(w -> outbox.ended(w.from(), run, new RunEnd.NeverStarted()));
        dispatch(moment);
        return dropped.isPresent();
    }

    void accepted(RunId run) {
        if (places.run(run).isPresent()) {
            holdOff.succeeded();
        }
    }

    void tokens(Moment moment, HostEvent.RunTokens event) {
        runs.tokens(moment.nowNanos(), event);
    }

    void ended(Moment moment, RunId run, RunEnd end) {
        Optional<Running> ended = places.run(run);
        if (ended.isEmpty()) {
            return;
        }
        boolean wasActive = holdOff.active(moment.nowNanos());
        runs.ended(moment.nowNanos(), ended.get(), end);
        if (ended.get().stop() == Running.Stop.PREEMPTED && places.run(run).isEmpty()) {
            admission.preempted();
        }
        if (!wasActive && holdOff.active(moment.nowNanos())) {
            prefixes.clear();
            refusals.refuseAll(moment, RefusalReason.NO_SERVER);
        }
        dispatch(moment);
    }

    void loadReported(HostEvent.LoadReported report) {
        limit.reported(report);
    }

    void cacheReported(HostEvent.CacheReported report) {
        prefixes.reported(report.stored(), report.evicted(), report.gap());
    }

    /** Forgets what waits and stops what runs for hosts that are gone. */
    void hostsGone(Moment moment, Predicate<RunId> gone) {
        for (Waiting waiting : List.copyOf(queue.all())) {
            if (gone.test(waiting.run())) {
                queue.remove(waiting.run());
            }
        }
        for (Places.Reservation reservation : List.copyOf(places.reserved())) {
            if (gone.test(reservation.waiting().run())) {
                places.release(reservation.waiting().run());
            }
        }
        for (Running run : List.copyOf(places.running())) {
            if (gone.test(run.run())) {
                runs.stop(moment.nowNanos(), run, Running.Stop.ORPHANED);
            }
        }
        dispatch(moment);
    }

    void tick(Moment moment) {
        refusals.refuseLate(moment);
        grants.expire(moment);
        runs.tick(moment.nowNanos());
        limit.tick(moment.nowNanos(), places.inFlight(), queue.size() > 0);
        admission.reservePatient(moment, limit.current());
        dispatch(moment);
        preempt(moment);
    }

    ServerLoad load(Moment moment) {
        long now = moment.nowNanos();
        boolean held = holdOff.active(now);
        List<Long> waitMillis = new ArrayList<>();
        for (long wait : waits.byRank(now, limit.current(), limit.places())) {
            waitMillis.add(wait + holdOff.remainingMillis(now));
        }
        return new ServerLoad(
                id(),
                places.inFlight(),
                held ? 0 : limit.current(),
                waitMillis,
                speed.prefillTokensPerSecond(),
                (int) (speed.gapMicrosNow() / 1_000));
    }

    /** Returns why the server takes no offers now; empty when it does. */
    private Optional<RefusalReason> refusal(Moment moment) {
        boolean held = holdOff.active(moment.nowNanos());
        return closed.or(() -> held ? Optional.of(RefusalReason.NO_SERVER) : Optional.empty());
    }

    /**
     * Gives the free places; stops runs of lower tiers at once when urgent work fills the queue.
     */
    private void dispatch(Moment moment) {
        if (refusal(moment).isPresent()) {
            return;
        }
        grants.giveAll(moment);
        if (queue.size(0) > 0 && queue.size(0) >= places.inFlight()) {
            preempt(moment);
        }
    }

    private void preempt(Moment moment) {
        long now = moment.nowNanos();
        int allowed = admission.allowance(0, now, limit.current(), limit.places());
        int free = Math.max(0, allowed - places.inFlight()) + admission.swaps();
        for (Running victim : preemption.victims(moment, free)) {
            runs.preempt(now, victim, "place-needed");
        }
    }
}

package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage.Offer;
import org.orioleshed.routing.RoutingMessage.RefusalReason;
import org.orioleshed.routing.RoutingMessage.ServerLoad;

/** One backend server on its home: who waits for it, and who gets its next place. */
final class HomeServer {
    private static final long LONGEST_REMAINING_MILLIS = 30L * 24 * 3_600_000;

    /** While others wait, a run starts only with so many times its expected time left. */
    private static final double STARTS_IN_TIME = 1.3;

    /** While none waits, a run starts also when it may yet be shorter than expected. */
    private static final double STARTS_ALONE = 0.5;

    private final RoutingLimits limits;
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Places places = new Places();
    private final Admission admission;
    private final ServerSpeed speed;
    private final AdaptiveLimit limit;
    private final Preemption preemption;
    private final WaitEstimate waits;
    private final ServerRuns runs;
    private final HoldOff holdOff = new HoldOff();
    private final ForeignLoad foreign = new ForeignLoad();
    private BackendServer server;
    private PrefixIndex prefixes;
    private Optional<RefusalReason> closed = Optional.empty();

    HomeServer(RoutingLimits limits, SpeedBook book, Outbox outbox, BackendServer server) {
        this.limits = limits;
        this.outbox = outbox;
        this.server = server;
        queue = new OfferQueue(limits.policy());
        admission = new Admission(limits.policy(), queue, places);
        speed = new ServerSpeed(book, server);
        limit = new AdaptiveLimit(limits, server.places());
        preemption = new Preemption(limits, queue, places, speed, server.id());
        waits = new WaitEstimate(limits, queue, places, speed, admission);
        prefixes = new PrefixIndex(server.cacheTokens());
        runs = new ServerRuns(limits, outbox, places, speed, limit, holdOff);
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
            prefixes = new PrefixIndex(now.cacheTokens());
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
        refuseAllWaiting(moment, reason);
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
            regrant(moment, reservation.get());
            return;
        }
        Waiting waiting = waiting(moment, from, run, offer);
        Optional<RefusalReason> refusal = refusal(moment, waiting);
        if (refusal.isPresent()) {
            refuse(moment, waiting, refusal.get());
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
        start(moment, reservation.get().waiting(), message);
    }

    /** Returns whether the run was here. */
    boolean credit(Moment moment, RunId run, int tokens) {
        return runs.credit(moment.nowNanos(), run, tokens);
    }

    /** Stops a run on the accepting host's wish; returns whether it was here. */
    boolean cancelled(Moment moment, RunId run) {
        if (places.run(run).isPresent()) {
            runs.stop(moment.nowNanos(), places.run(run).get(), Running.Stop.WISHED, id());
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
        runs.ended(moment.nowNanos(), ended.get(), end, id());
        if (ended.get().stop() == Running.Stop.PREEMPTED && places.run(run).isEmpty()) {
            admission.preempted();
        }
        if (!wasActive && holdOff.active(moment.nowNanos())) {
            prefixes.clear();
            refuseAllWaiting(moment, RefusalReason.NO_SERVER);
        }
        dispatch(moment);
    }

    void loadReported(HostEvent.LoadReported report) {
        foreign.reported(report.running() + report.waiting(), report.ageMillis());
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
                runs.stop(moment.nowNanos(), run, Running.Stop.ORPHANED, id());
            }
        }
        dispatch(moment);
    }

    void tick(Moment moment) {
        dropLate(moment);
        expireReservations(moment);
        runs.tick(moment.nowNanos(), id());
        limit.load(places.inFlight(), queue.size() > 0);
        limit.tick(moment.nowNanos());
        foreign.own(places.inFlight(), moment.nowNanos());
        admission.reservePatient(moment, limit());
        dispatch(moment);
        preempt(moment);
    }

    ServerLoad load(Moment moment) {
        long now = moment.nowNanos();
        boolean held = holdOff.active(now);
        List<Long> waitMillis = new ArrayList<>();
        for (long wait : waits.byRank(now, limit(), server.places())) {
            waitMillis.add(wait + holdOff.remainingMillis(now));
        }
        return new ServerLoad(
                id(),
                places.inFlight(),
                held ? 0 : limit(),
                waitMillis,
                speed.prefillTokensPerSecond(),
                (int) (speed.gapMicrosNow() / 1_000));
    }

    /** Returns how many requests may run at once at present. */
    int limit() {
        if (limits.policy() == Policy.NAIVE) {
            return server.places();
        }
        if (holdOff.probing()) {
            return 1;
        }
        return Math.max(1, limit.current() - foreign.requests());
    }

    private Waiting waiting(Moment moment, HostId from, RunId run, Offer offer) {
        long now = moment.nowNanos();
        long remainingMillis = Math.clamp(offer.remainingMillis(), -1, LONGEST_REMAINING_MILLIS);
        long ageMillis = Math.clamp(offer.ageMillis(), 0, LONGEST_REMAINING_MILLIS);
        int cached = prefixes.cachedTokens(offer.prefixHashes());
        int uncached = Math.max(0, offer.promptTokens() - cached);
        return new Waiting(
                run,
                from,
                offer,
                now + remainingMillis * Moment.NANOS_PER_MILLI,
                now - ageMillis * Moment.NANOS_PER_MILLI,
                now,
                uncached,
                speed.workMillis(offer, uncached),
                speed.safeWorkMillis(offer, uncached));
    }

    private Optional<RefusalReason> refusal(Moment moment, Waiting waiting) {
        if (closed.isPresent()) {
            return closed;
        }
        if (holdOff.active(moment.nowNanos())) {
            return Optional.of(RefusalReason.NO_SERVER);
        }
        boolean fits = waiting.deadlineNanos() - moment.nowNanos() > 0;
        if (!fits || !hasRoom(moment, waiting)) {
            return Optional.of(RefusalReason.OVERLOAD);
        }
        return Optional.empty();
    }

    /** Makes room in a full queue at the cost of lower tiers, as far as there are any. */
    private boolean hasRoom(Moment moment, Waiting waiting) {
        if (queue.size() < limits.queueLength()) {
            return true;
        }
        if (limits.policy() == Policy.NAIVE) {
            return false;
        }
        Optional<Waiting> yielding = queue.leastUrgentBelow(waiting.rank());
        if (yielding.isPresent()) {
            queue.remove(yielding.get().run());
            refuse(moment, yielding.get(), RefusalReason.OVERLOAD);
            return true;
        }
        // Each run that yields makes room for one more, so the queue stays bounded.
        List<Running> below = preemption.allBelow(waiting.rank());
        below.forEach(run -> preempt(moment, run, "queue-full"));
        return !below.isEmpty();
    }

    private void dispatch(Moment moment) {
        if (closed.isPresent() || holdOff.active(moment.nowNanos())) {
            return;
        }
        Optional<Waiting> next = admission.take(moment, limit(), server.places());
        while (next.isPresent()) {
            grantOrDrop(moment, next.get());
            next = admission.take(moment, limit(), server.places());
        }
        if (queue.size(0) > 0 && queue.size(0) >= places.inFlight()) {
            preempt(moment);
        }
    }

    private void grantOrDrop(Moment moment, Waiting waiting) {
        long leftMillis = moment.millisUntil(waiting.deadlineNanos());
        boolean tooLate =
                limits.policy() == Policy.ORIOLESHED
                        && waiting.rank() > 0
                        && leftMillis < timeToStart(waiting);
        if (tooLate) {
            admission.unused(waiting);
            refuse(moment, waiting, RefusalReason.OVERLOAD);
            return;
        }
        long until = moment.nowNanos() + limits.reservationMillis() * Moment.NANOS_PER_MILLI;
        places.reserve(waiting, until);
        outbox.granted(waiting, id(), limits.reservationMillis());
        long waitedMillis = -moment.millisUntil(waiting.queuedNanos());
        String state = places.inFlight() + "/" + limit() + "/" + queue.size();
        outbox.log(
                "grant",
                waiting.run(),
                waiting.offer().tier(),
                id(),
                id() + ":" + waitedMillis,
                "in-flight/limit/waiting=" + state);
    }

    /** Returns how much time a lower-tier run must have left to be started: more if others wait. */
    private double timeToStart(Waiting waiting) {
        double share = queue.size() > 0 ? STARTS_IN_TIME : STARTS_ALONE;
        return share * waiting.workMillis();
    }

    private void regrant(Moment moment, Places.Reservation reservation) {
        long leftMillis = Math.max(0, moment.millisUntil(reservation.untilNanos()));
        outbox.granted(reservation.waiting(), id(), leftMillis);
    }

    private void start(Moment moment, Waiting waiting, RoutingMessage.Placed message) {
        Offer offer = waiting.offer();
        int cached = prefixes.cachedTokens(offer.prefixHashes());
        int uncached = Math.max(0, offer.promptTokens() - cached);
        prefixes.sent(offer.prefixHashes());
        Running run =
                new Running(
                        waiting,
                        message.resumeFromToken(),
                        message.creditTokens(),
                        uncached,
                        moment.nowNanos(),
                        speed.prefillMillis(offer.route(), uncached));
        places.start(run);
        int resumeFrom = server.canResume() ? message.resumeFromToken() : 0;
        outbox.add(new HostAction.StartRun(waiting.run(), id(), message.body(), resumeFrom));
        outbox.log(
                "start",
                waiting.run(),
                offer.tier(),
                id(),
                id() + ":" + waiting.workMillis(),
                "uncached=" + uncached + "-of-" + offer.promptTokens());
    }

    private void preempt(Moment moment) {
        int allowed = admission.allowance(0, moment.nowNanos(), limit(), server.places());
        int free = Math.max(0, allowed - places.inFlight()) + admission.swaps();
        for (Running victim : preemption.victims(moment, free)) {
            preempt(moment, victim, "place-needed");
        }
    }

    private void preempt(Moment moment, Running victim, String reason) {
        runs.stop(moment.nowNanos(), victim, Running.Stop.PREEMPTED, id());
        outbox.log(
                "preempt",
                victim.run(),
                victim.waiting().offer().tier(),
                id(),
                id() + ":" + victim.generatedTokens(),
                reason);
    }

    private void dropLate(Moment moment) {
        for (Waiting waiting : List.copyOf(queue.all())) {
            if (waiting.deadlineNanos() - moment.nowNanos() <= 0) {
                queue.remove(waiting.run());
                refuse(moment, waiting, RefusalReason.OVERLOAD);
            }
        }
    }

    private void expireReservations(Moment moment) {
        for (Places.Reservation reservation : List.copyOf(places.reserved())) {
            if (reservation.untilNanos() - moment.nowNanos() <= 0) {
                places.release(reservation.waiting().run());
                admission.unused(reservation.waiting());
            }
        }
    }

    private void refuseAllWaiting(Moment moment, RefusalReason reason) {
        for (Waiting waiting : List.copyOf(queue.all())) {
            queue.remove(waiting.run());
            refuse(moment, waiting, reason);
        }
    }

    private void refuse(Moment moment, Waiting waiting, RefusalReason reason) {
        long now = moment.nowNanos();
        long wait =
                waits.millis(waiting.rank(), now, limit(), server.places())
                        + holdOff.remainingMillis(now);
        outbox.refused(
                waiting.from(),
                waiting.run(),
                waiting.offer().tier(),
                id(),
                reason,
                lowerTierIsHere(waiting.rank()),
                wait);
    }

    private boolean lowerTierIsHere(int rank) {
        return places.holdsBelow(rank) || queue.leastUrgentBelow(rank).isPresent();
    }
}

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

/**
 * The state of one backend server on its owner: the queue of offers, the slots, the runs and the
 * estimates.
 */
final class OwnedServer {
    private final Outbox outbox;
    private final OfferQueue queue;
    private final Slots slots = new Slots();
    private final ServerBackoff backoff = new ServerBackoff();
    private final PrefixIndex prefixes;
    private final ServerSpeed speed;
    private final SlotLimit limit;
    private final SlotScheduler scheduler;
    private final Preemption preemption;
    private final WaitEstimate waits;
    private final ServerRuns runs;
    private final Refusals refusals;
    private final OfferAdmission offerAdmission;
    private final SlotGranter granter;
    private BackendServer server;
    private Optional<RefusalReason> closed = Optional.empty();

    OwnedServer(
            RoutingLimits limits, SpeedHistory speedHistory, Outbox outbox, BackendServer server) {
        ServerId id = server.id();
        AdaptiveLimit adaptive = new AdaptiveLimit(limits, server.slots());
        this.outbox = outbox;
        this.server = server;
        queue = new OfferQueue(limits.policy());
        prefixes = new PrefixIndex(server.cacheTokens());
        speed = new ServerSpeed(speedHistory, server);
        limit = new SlotLimit(limits.policy(), adaptive, backoff, server.slots());
        scheduler = new SlotScheduler(limits.policy(), queue, slots);
        preemption = new Preemption(limits, queue, slots, speed, id);
        waits = new WaitEstimate(limits, queue, slots, speed, scheduler);
        runs = new ServerRuns(limits, id, outbox, slots, prefixes, speed, adaptive, backoff);
        refusals = new Refusals(id, outbox, queue, slots, waits, backoff, limit);
        offerAdmission =
                new OfferAdmission(limits, queue, prefixes, speed, preemption, runs, refusals);
        granter = new SlotGranter(limits, id, outbox, queue, slots, scheduler, limit, refusals);
    }

    ServerId id() {
        return server.id();
    }

    BackendServer server() {
        return server;
    }

    /** Applies a change of the server's settings. */
    void update(BackendServer updated) {
        if (!updated.version().equals(server.version())
                || !updated.target().equals(server.target())) {
            prefixes.reset(updated.cacheTokens());
            speed.clear();
        }
        server = updated;
        speed.setServer(updated);
        limit.setSlots(updated.slots());
    }

    /** Starts to take offers. */
    void open() {
        closed = Optional.empty();
    }

    boolean isOpen() {
        return closed.isEmpty();
    }

    /** Stops taking offers and refuses those that wait; active runs continue. */
    void close(DecisionContext context, RefusalReason reason) {
        closed = Optional.of(reason);
        refusals.refuseAll(context, reason);
    }

    /** Returns whether no accepting host waits for a response from this server. */
    boolean isIdle() {
        return queue.size() == 0 && slots.isIdle();
    }

    /** Returns whether there are no waiting offers, reservations or runs. */
    boolean isEmpty() {
        return queue.size() == 0 && slots.isEmpty();
    }

    void offered(DecisionContext context, HostId from, RunId run, Offer offer) {
        if (slots.run(run).isPresent() || queue.get(run).isPresent()) {
            return;
        }
        Optional<Slots.Reservation> reservation = slots.reservation(run);
        if (reservation.isPresent()) {
            granter.resendGrant(context, reservation.get());
            return;
        }
        WaitingOffer waiting = offerAdmission.waiting(context, from, run, offer);
        Optional<RefusalReason> refusal =
                refusal(context).or(() -> offerAdmission.refusal(context, waiting));
        if (refusal.isPresent()) {
            refusals.refuse(context, waiting, refusal.get());
            return;
        }
        queue.add(waiting, context.weight(offer.workspace()));
        scheduler.recordOffer(waiting.rank(), context.nowNanos());
        dispatch(context);
    }

    void withdrawn(DecisionContext context, RunId run) {
        queue.remove(run);
        slots.release(run).ifPresent(unused -> scheduler.refund(unused.waiting()));
        dispatch(context);
    }

    void placed(DecisionContext context, HostId from, RoutingMessage.Placed message) {
        if (slots.run(message.run()).isPresent()) {
            return;
        }
        Optional<Slots.Reservation> reservation = slots.reservation(message.run());
        if (reservation.isEmpty()) {
            queue.remove(message.run());
            RunEnd end = outbox.endOf(message.run()).orElse(new RunEnd.NeverStarted());
            outbox.sendEnded(from, message.run(), end);
            return;
        }
        runs.start(context.nowNanos(), reservation.get().waiting(), message, server.canResume());
    }

    /** Returns whether the run is on this server. */
    boolean credit(DecisionContext context, RunId run, int tokens) {
        return runs.credit(context.nowNanos(), run, tokens);
    }

    /**
     * Cancels a run or a waiting offer at the accepting host's request; returns whether it was on
     * this server.
     */
    boolean cancelled(DecisionContext context, RunId run) {
        if (slots.run(run).isPresent()) {
            runs.stop(context.nowNanos(), slots.run(run).get(), EngineRun.StopReason.REQUESTED);
            return true;
        }
        Optional<WaitingOffer> dropped = queue.remove(run);
        if (dropped.isEmpty()) {
            dropped = slots.release(run).map(Slots.Reservation::waiting);
            dropped.ifPresent(scheduler::refund);
        }
        dropped.ifPresent(w -> outbox.sendEnded(w.from(), run, new RunEnd.NeverStarted()));
        dispatch(context);
        return dropped.isPresent();
    }

    void accepted(RunId run) {
        if (slots.run(run).isPresent()) {
            backoff.succeeded();
        }
    }

    void tokens(DecisionContext context, HostEvent.RunTokens event) {
        runs.tokens(context.nowNanos(), event);
    }

    void ended(DecisionContext context, RunId run, RunEnd end) {
        Optional<EngineRun> ended = slots.run(run);
        if (ended.isEmpty()) {
            return;
        }
        boolean wasActive = backoff.active(context.nowNanos());
        runs.ended(context.nowNanos(), ended.get(), end);
        if (ended.get().stopReason() == EngineRun.StopReason.PREEMPTED
                && slots.run(run).isEmpty()) {
            scheduler.recordPreempted();
        }
        if (!wasActive && backoff.active(context.nowNanos())) {
            prefixes.clear();
            refusals.refuseAll(context, RefusalReason.NO_SERVER);
        }
        dispatch(context);
    }

    void loadReported(HostEvent.LoadReported report) {
        limit.reported(report);
    }

    void cacheReported(HostEvent.CacheReported report) {
        prefixes.reported(report.stored(), report.evicted(), report.gap());
    }

    /** Drops the offers and reservations, and stops the runs, of accepting hosts that are gone. */
    void hostsGone(DecisionContext context, Predicate<RunId> gone) {
        for (WaitingOffer waiting : List.copyOf(queue.all())) {
            if (gone.test(waiting.run())) {
                queue.remove(waiting.run());
            }
        }
        for (Slots.Reservation reservation : List.copyOf(slots.reserved())) {
            if (gone.test(reservation.waiting().run())) {
                slots.release(reservation.waiting().run());
            }
        }
        for (EngineRun run : List.copyOf(slots.running())) {
            if (gone.test(run.run())) {
                runs.stop(context.nowNanos(), run, EngineRun.StopReason.ORPHANED);
            }
        }
        dispatch(context);
    }

    void tick(DecisionContext context) {
        refusals.refuseExpired(context);
        granter.expire(context);
        runs.tick(context.nowNanos());
        limit.tick(context.nowNanos(), slots.inFlight(), queue.size() > 0);
        scheduler.reservePatient(context, limit.current());
        dispatch(context);
        preempt(context);
    }

    ServerLoad load(DecisionContext context) {
        long now = context.nowNanos();
        boolean backingOff = backoff.active(now);
        List<Long> waitMillis = new ArrayList<>();
        for (long wait : waits.byRank(now, limit.current(), limit.slots())) {
            waitMillis.add(wait + backoff.remainingMillis(now));
        }
        return new ServerLoad(
                id(),
                slots.inFlight(),
                backingOff ? 0 : limit.current(),
                waitMillis,
                speed.prefillTokensPerSecond(),
                (int) (speed.gapMicrosNow() / 1_000));
    }

    /** Returns why the server takes no offers at present; empty when it does. */
    private Optional<RefusalReason> refusal(DecisionContext context) {
        boolean backingOff = backoff.active(context.nowNanos());
        return closed.or(
                () -> backingOff ? Optional.of(RefusalReason.NO_SERVER) : Optional.empty());
    }

    /**
     * Grants the free slots; preempts runs of lower tiers without delay when at least as many
     * urgent offers wait as slots are in use.
     */
    private void dispatch(DecisionContext context) {
        if (refusal(context).isPresent()) {
            return;
        }
        granter.grantAll(context);
        if (queue.size(0) > 0 && queue.size(0) >= slots.inFlight()) {
            preempt(context);
        }
    }

    private void preempt(DecisionContext context) {
        long now = context.nowNanos();
        int allowed = scheduler.allowance(0, now, limit.current(), limit.slots());
        int free = Math.max(0, allowed - slots.inFlight()) + scheduler.freedForUrgent();
        for (EngineRun victim : preemption.victims(context, free)) {
            runs.preempt(now, victim, "slot-needed");
        }
    }
}

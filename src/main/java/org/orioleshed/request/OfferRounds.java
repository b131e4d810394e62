package org.orioleshed.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.Decision;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Work;
import org.orioleshed.request.Execution.Offered;
import org.orioleshed.request.Execution.Offering;
import org.orioleshed.request.ServerSelector.Choice;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RoutingMessage.Refused;

/**
 * Offers requests to the owners of servers: a few at first, more as time passes or owners refuse.
 */
final class OfferRounds {
    /** Allowance for a message between hosts, subtracted from the remaining time. */
    private static final long MESSAGE_DELAY_MILLIS = 5;

    /** The longest delay between repeats of an unanswered offer. */
    private static final long MAX_REPEAT_MILLIS = 8_000;

    /** The widening delay doubles this many times (a factor of 8) for each rank below the first. */
    private static final int WIDEN_DOUBLINGS_PER_RANK = 3;

    private final RequestLimits limits;
    private final ServerSelector selector;
    private final Consumer<HostAction> out;

    OfferRounds(RequestLimits limits, ServerSelector selector, Consumer<HostAction> out) {
        this.limits = limits;
        this.selector = selector;
        this.out = out;
    }

    /**
     * Starts the next attempt with offers to the first of {@code choices}, which must not be empty.
     */
    void start(long nowNanos, Execution execution, List<Choice> choices) {
        execution.attempt++;
        Offering offering = new Offering(execution.run(), choices);
        execution.state = offering;
        offering.repeatDelayNanos = nanos(limits.offerRepeatMillis());
        offering.repeatNanos = nowNanos + offering.repeatDelayNanos;
        offering.widenNanos = nowNanos + widenDelay(execution);
        logOffer(execution, choices);
        for (int i = 0; i < limits.offersAtOnce(); i++) {
            offerNext(nowNanos, execution, offering);
        }
    }

    /** Records a refusal; returns whether no offer is left. */
    boolean onRefused(long nowNanos, Execution execution, Offering offering, Refused refusal) {
        if (offering.offers.remove(refusal.server()) == null) {
            return false;
        }
        offering.refusals.add(refusal);
        offerNext(nowNanos, execution, offering);
        return offering.offers.isEmpty();
    }

    /** Repeats offers and offers to one more server, as far as due. */
    void onTimer(long nowNanos, Execution execution, Offering offering) {
        if (nowNanos >= offering.widenNanos) {
            offering.widenNanos = nowNanos + widenDelay(execution);
            offerNext(nowNanos, execution, offering);
        }
        if (nowNanos < offering.repeatNanos) {
            return;
        }
        offering.repeatDelayNanos =
                Math.min(2 * offering.repeatDelayNanos, nanos(MAX_REPEAT_MILLIS));
        offering.repeatNanos = nowNanos + offering.repeatDelayNanos;
        offering.offers.forEach(
                (server, offer) -> send(nowNanos, execution, offering, server, offer.owner()));
    }

    /**
     * Drops the offers sent to hosts that are dead and offers to another server instead; returns
     * whether that leaves no offer.
     */
    boolean dropLostOwners(
            long nowNanos, FleetSnapshot fleet, Execution execution, Offering offering) {
        boolean lost = offering.offers.values().removeIf(offer -> isLost(fleet, offer.owner()));
        if (!lost) {
            return false;
        }
        offering.ownerLost = true;
        offerNext(nowNanos, execution, offering);
        return offering.offers.isEmpty();
    }

    private static boolean isLost(FleetSnapshot fleet, HostId owner) {
        EntryHost host = fleet.hosts().get(owner);
        return host == null || host.state() == EntryHost.State.DEAD;
    }

    /** Withdraws all offers but the one for {@code placed}. */
    void withdraw(Offering offering, Optional<ServerId> placed) {
        offering.offers.forEach(
                (server, offer) -> {
                    if (placed.filter(server::equals).isEmpty()) {
                        withdraw(offering, server, offer.owner());
                    }
                });
    }

    /**
     * Repeats the offer of a placed run: an owner that has the run ignores it, one that lost it
     * grants a slot again.
     */
    void probe(long nowNanos, Execution execution, Execution.Running running) {
        out.accept(
                new HostAction.SendRouting(
                        running.owner,
                        new RoutingMessage.Offered(
                                running.run, running.server, toOffer(nowNanos, execution))));
    }

    private void withdraw(Offering offering, ServerId server, HostId owner) {
        out.accept(
                new HostAction.SendRouting(
                        owner, new RoutingMessage.Withdrawn(offering.run, server)));
    }

    private void offerNext(long nowNanos, Execution execution, Offering offering) {
        if (offering.untried.isEmpty() && !offering.complete) {
            offering.complete = true;
            offering.untried.addAll(
                    selector.choices(
                            nowNanos,
                            execution.request,
                            execution.version,
                            execution.transcript.tokens(),
                            offering.tried,
                            Integer.MAX_VALUE));
        }
        if (offering.untried.isEmpty()) {
            return;
        }
        Choice choice = offering.untried.removeFirst();
        offering.tried.add(choice.server());
        offering.offers.put(choice.server(), new Offered(choice.owner()));
        send(nowNanos, execution, offering, choice.server(), choice.owner());
    }

    private void send(
            long nowNanos, Execution execution, Offering offering, ServerId server, HostId owner) {
        out.accept(
                new HostAction.SendRouting(
                        owner,
                        new RoutingMessage.Offered(
                                offering.run, server, toOffer(nowNanos, execution))));
    }

    private RoutingMessage.Offer toOffer(long nowNanos, Execution execution) {
        Request request = execution.request;
        Work.Generate work = (Work.Generate) request.work();
        long remainingMillis = millis(execution.deadlineNanos() - nowNanos) - MESSAGE_DELAY_MILLIS;
        return new RoutingMessage.Offer(
                request.workspace(),
                request.route(),
                request.tier(),
                Math.max(0, remainingMillis),
                Math.max(0, millis(nowNanos - request.arrivedNanos())),
                work.promptTokens() + execution.transcript.tokens(),
                Math.max(1, work.maxOutputTokens() - execution.transcript.tokens()),
                work.prefixHashes(),
                execution.preemptions,
                request.fingerprint());
    }

    private void logOffer(Execution execution, List<Choice> choices) {
        String candidates = choices.stream().map(Choice::label).collect(Collectors.joining(","));
        out.accept(
                new HostAction.Log(
                        new Decision(
                                "offer",
                                execution.run(),
                                execution.request.tier(),
                                Optional.of(choices.getFirst().server()),
                                candidates,
                                execution.attempt == 1 ? "arrived" : "again")));
    }

    private long widenDelay(Execution execution) {
        int doublings = Math.min(6, execution.request.tier().rank() * WIDEN_DOUBLINGS_PER_RANK);
        return nanos(limits.widenMillis()) << doublings;
    }

    /**
     * Returns whether all refusals were for overload and no refusing server runs work of a lower
     * tier.
     */
    static boolean isShed(List<Refused> refusals) {
        return !refusals.isEmpty()
                && refusals.stream().noneMatch(Refused::lowerTierRuns)
                && refusals.stream()
                        .allMatch(r -> r.reason() == RoutingMessage.RefusalReason.OVERLOAD);
    }

    /** Returns the shortest wait expected by a refusing owner, in milliseconds. */
    static long shortestWaitMillis(List<Refused> refusals) {
        List<Long> waits = new ArrayList<>();
        refusals.forEach(r -> waits.add(r.expectedWaitMillis()));
        return waits.stream().mapToLong(Long::longValue).min().orElse(0);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

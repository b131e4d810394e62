package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.routing.RoutingMessage.Offer;
import org.orioleshed.routing.RoutingMessage.Refused;

/**
 * A test harness: an owner core with one backend server, and an accepting host that places granted
 * runs. Collects violations of the grant order and of the shedding rule.
 */
final class OneServer {
    static final ServerId SERVER = new ServerId("suva-a-1");

    private static final long NANOS_PER_MILLI = 1_000_000;

    final OwnerCore core;
    final List<RunId> granted = new ArrayList<>();
    final Map<RunId, Refused> refused = new LinkedHashMap<>();
    final Map<RunId, RunEnd> ended = new LinkedHashMap<>();
    final Set<RunId> onEngine = new LinkedHashSet<>();
    final Set<RunId> cancelling = new LinkedHashSet<>();
    final List<HostAction> actions = new ArrayList<>();
    final Map<RunId, Tier> tiers = new HashMap<>();
    final Map<RunId, OpenOffer> waiting = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    boolean placesGrantedRuns = true;
    long nowNanos = 1_000 * NANOS_PER_MILLI;

    OneServer(RoutingLimits limits, int slots) {
        core = new OwnerCore(FleetSnapshots.SELF, limits);
        handle(new HostEvent.FleetChanged(FleetSnapshots.of(1, 1, 1, slots)));
    }

    void fleet(FleetSnapshot fleet) {
        handle(new HostEvent.FleetChanged(fleet));
    }

    void offer(RunId run, Offer offer) {
        if (!tiers.containsKey(run)) {
            tiers.put(run, offer.tier());
            waiting.put(
                    run,
                    new OpenOffer(offer, nowNanos + offer.remainingMillis() * NANOS_PER_MILLI));
        }
        receive(new RoutingMessage.Offered(run, SERVER, offer));
    }

    void receive(RoutingMessage message) {
        handle(new HostEvent.RoutingReceived(FleetSnapshots.SELF, message));
    }

    void advance(long millis) {
        for (long left = millis; left > 0; left -= 20) {
            nowNanos += Math.min(20, left) * NANOS_PER_MILLI;
            handle(new HostEvent.Tick());
        }
    }

    void tokens(RunId run, int firstToken, int count) {
        handle(new HostEvent.RunTokens(run, SERVER, firstToken, count, Payload.of("t ")));
    }

    void end(RunId run, RunEnd end) {
        onEngine.remove(run);
        cancelling.remove(run);
        handle(new HostEvent.RunEnded(run, SERVER, end));
    }

    void finish(RunId run) {
        end(run, new RunEnd.Finished(50));
    }

    void confirmCancel(RunId run) {
        end(run, new RunEnd.Cancelled(100));
    }

    /** Returns the runs on the engine that are not being cancelled and whose tier matches. */
    List<RunId> running(Predicate<Tier> tier) {
        return onEngine.stream()
                .filter(run -> !cancelling.contains(run) && tier.test(tiers.get(run)))
                .toList();
    }

    void handle(HostEvent event) {
        List<HostAction> out = core.on(nowNanos, event);
        actions.addAll(out);
        for (HostAction action : out) {
            switch (action) {
                case HostAction.SendRouting send -> onSent(send.message());
                case HostAction.StartRun start -> onEngine.add(start.run());
                case HostAction.CancelRun cancel -> cancelling.add(cancel.run());
                default -> {}
            }
        }
    }

    private void onSent(RoutingMessage message) {
        switch (message) {
            case RoutingMessage.Granted m -> {
                checkOrder(m.run());
                waiting.remove(m.run());
                granted.add(m.run());
                if (placesGrantedRuns) {
                    receive(new RoutingMessage.Placed(m.run(), SERVER, Payload.EMPTY, 0, 1_000));
                }
            }
            case Refused m -> {
                checkShed(m);
                waiting.remove(m.run());
                refused.put(m.run(), m);
            }
            case RoutingMessage.Ended m -> {
                waiting.remove(m.run());
                ended.put(m.run(), m.end());
            }
            default -> {}
        }
    }

    private void checkOrder(RunId run) {
        OpenOffer chosen = waiting.get(run);
        if (chosen == null) {
            return;
        }
        for (Map.Entry<RunId, OpenOffer> entry : waiting.entrySet()) {
            OpenOffer other = entry.getValue();
            boolean urgentWaits = other.offer().tier().rank() == 0;
            if (urgentWaits && chosen.offer().tier().rank() > 0) {
                violations.add(run + " got a slot before the urgent " + entry.getKey());
            }
            boolean sameQueue =
                    other.offer().tier().equals(chosen.offer().tier())
                            && other.offer().workspace().equals(chosen.offer().workspace());
            if (sameQueue && other.deadlineNanos() < chosen.deadlineNanos()) {
                violations.add(run + " got a slot before the earlier " + entry.getKey());
            }
        }
    }

    private void checkShed(Refused message) {
        OpenOffer shed = waiting.get(message.run());
        boolean forOverload = message.reason() == RoutingMessage.RefusalReason.OVERLOAD;
        if (shed == null || !forOverload || shed.deadlineNanos() <= nowNanos) {
            return;
        }
        int rank = shed.offer().tier().rank();
        List<RunId> lower = running(tier -> tier.rank() > rank);
        if (rank == 0 && !lower.isEmpty()) {
            violations.add(message.run() + " was shed while " + lower + " ran");
        }
    }

    /** An offer that is neither granted nor refused yet. */
    record OpenOffer(Offer offer, long deadlineNanos) {}
}

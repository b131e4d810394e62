package org.orioleshed.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage;

/**
 * Repeats the cancellation of runs until their end is confirmed: through the owner at first,
 * directly at the engine if the owner is dead or does not answer.
 */
final class RunCanceller {
    /** The number of unanswered messages to an owner before the engine is contacted directly. */
    private static final int MAX_OWNER_ATTEMPTS = 4;

    /**
     * The number of attempts after which the cancellation of a run that nothing waits for is
     * abandoned.
     */
    private static final int MAX_ATTEMPTS = 240;

    private final long repeatNanos;
    private final Consumer<HostAction> out;
    private final Map<RunId, Cancelling> pending = new LinkedHashMap<>();

    RunCanceller(long repeatMillis, Consumer<HostAction> out) {
        this.repeatNanos = TimeUnit.MILLISECONDS.toNanos(repeatMillis);
        this.out = out;
    }

    /** Starts to cancel a run through its owner. */
    void cancelViaOwner(
            long nowNanos, FleetSnapshot fleet, RunId run, ServerId server, HostId owner) {
        start(nowNanos, fleet, run, new Cancelling(server, owner, 0));
    }

    /** Starts to cancel a run directly at its engine. */
    void cancelAtEngine(
            long nowNanos, FleetSnapshot fleet, RunId run, ServerId server, HostId owner) {
        start(nowNanos, fleet, run, new Cancelling(server, owner, MAX_OWNER_ATTEMPTS));
    }

    private void start(long nowNanos, FleetSnapshot fleet, RunId run, Cancelling cancelling) {
        pending.put(run, cancelling);
        send(nowNanos, fleet, run, cancelling);
    }

    /** Stops cancelling a run that has ended; returns whether it was being cancelled. */
    boolean onEnd(RunId run) {
        return pending.remove(run) != null;
    }

    /** Returns whether the run is being cancelled. */
    boolean isPending(RunId run) {
        return pending.containsKey(run);
    }

    /** Returns the number of runs being cancelled. */
    int size() {
        return pending.size();
    }

    /**
     * Repeats the cancellations that are due and those whose owner has died.
     *
     * @param awaited whether a request waits for the end of a run, whose cancellation is then never
     *     abandoned
     */
    void tick(long nowNanos, FleetSnapshot fleet, Predicate<RunId> awaited) {
        if (pending.isEmpty()) {
            return;
        }
        List<RunId> abandoned = new ArrayList<>();
        for (Map.Entry<RunId, Cancelling> entry : pending.entrySet()) {
            Cancelling cancelling = entry.getValue();
            boolean ownerLost =
                    cancelling.attempts < MAX_OWNER_ATTEMPTS && !reachable(fleet, cancelling.owner);
            if (nowNanos < cancelling.nextNanos && !ownerLost) {
                continue;
            }
            if (cancelling.attempts >= MAX_ATTEMPTS && !awaited.test(entry.getKey())) {
                abandoned.add(entry.getKey());
                continue;
            }
            send(nowNanos, fleet, entry.getKey(), cancelling);
        }
        abandoned.forEach(pending::remove);
    }

    private void send(long nowNanos, FleetSnapshot fleet, RunId run, Cancelling cancelling) {
        cancelling.nextNanos = nowNanos + repeatNanos;
        boolean throughOwner =
                cancelling.attempts < MAX_OWNER_ATTEMPTS && reachable(fleet, cancelling.owner);
        cancelling.attempts =
                throughOwner
                        ? cancelling.attempts + 1
                        : Math.max(MAX_OWNER_ATTEMPTS, cancelling.attempts) + 1;
        if (throughOwner) {
            out.accept(
                    new HostAction.SendRouting(
                            cancelling.owner, new RoutingMessage.Cancelled(run)));
            return;
        }
        out.accept(new HostAction.CancelRun(run, cancelling.server));
    }

    private static boolean reachable(FleetSnapshot fleet, HostId owner) {
        EntryHost host = fleet.hosts().get(owner);
        return host != null && host.state() != EntryHost.State.DEAD;
    }

    private static final class Cancelling {
        final ServerId server;
        final HostId owner;
        int attempts;
        long nextNanos;

        Cancelling(ServerId server, HostId owner, int attempts) {
            this.server = server;
            this.owner = owner;
            this.attempts = attempts;
        }
    }
}

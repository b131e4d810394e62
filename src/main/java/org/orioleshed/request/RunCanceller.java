package org.orioleshed.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.routing.RoutingMessage;

/**
 * Cancels runs until their end is proved: by way of the owner first, straight at the engine when
 * the owner is gone or does not answer.
 */
final class RunCanceller {
    /** Unanswered messages to an owner before the engine is asked itself. */
    private static final int HOME_TRIES = 4;

    /** Tries after which a run that nobody waits for is given up. */
    private static final int MAX_TRIES = 240;

    private final long repeatNanos;
    private final Consumer<HostAction> out;
    private final Map<RunId, Cancelling> pending = new LinkedHashMap<>();

    RunCanceller(long repeatMillis, Consumer<HostAction> out) {
        this.repeatNanos = TimeUnit.MILLISECONDS.toNanos(repeatMillis);
        this.out = out;
    }

    /** Starts to cancel a run that its owner should know of. */
    void viaOwner(long nowNanos, FleetSnapshot fleet, RunId run, ServerId server, HostId owner) {
        start(nowNanos, fleet, run, new Cancelling(server, owner, 0));
    }

    /** Starts to cancel a run at its engine, as its owner can't. */
    void atEngine(long nowNanos, FleetSnapshot fleet, RunId run, ServerId server, HostId owner) {
        start(nowNanos, fleet, run, new Cancelling(server, owner, HOME_TRIES));
    }

    private void start(long nowNanos, FleetSnapshot fleet, RunId run, Cancelling cancelling) {
        pending.put(run, cancelling);
        send(nowNanos, fleet, run, cancelling);
    }

    /** Returns whether the run was being cancelled, and stops it. */
    boolean onEnd(RunId run) {
        return pending.remove(run) != null;
    }

    /** Returns whether the run is being cancelled. */
    boolean isPending(RunId run) {
        return pending.containsKey(run);
    }

    /** Returns how many runs are being cancelled. */
    int size() {
        return pending.size();
    }

    /** Repeats what is due, and what a changed fleet snapshot asks for. */
    void tick(long nowNanos, FleetSnapshot fleet) {
        if (pending.isEmpty()) {
            return;
        }
        List<RunId> given = new ArrayList<>();
        for (Map.Entry<RunId, Cancelling> entry : pending.entrySet()) {
            Cancelling cancelling = entry.getValue();
            boolean ownerLost =
                    cancelling.tries < HOME_TRIES && !reachable(fleet, cancelling.owner);
            if (nowNanos < cancelling.nextNanos && !ownerLost) {
                continue;
            }
            if (cancelling.tries >= MAX_TRIES) {
                given.add(entry.getKey());
                continue;
            }
            send(nowNanos, fleet, entry.getKey(), cancelling);
        }
        given.forEach(pending::remove);
    }

    private void send(long nowNanos, FleetSnapshot fleet, RunId run, Cancelling cancelling) {
        cancelling.nextNanos = nowNanos + repeatNanos;
        boolean owner = cancelling.tries < HOME_TRIES && reachable(fleet, cancelling.owner);
        cancelling.tries =
                owner ? cancelling.tries + 1 : Math.max(HOME_TRIES, cancelling.tries) + 1;
        if (owner) {
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
        int tries;
        long nextNanos;

        Cancelling(ServerId server, HostId owner, int tries) {
            this.server = server;
            this.owner = owner;
            this.tries = tries;
        }
    }
}

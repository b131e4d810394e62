package org.orioleshed.request;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;

/** Tracks content that crashes servers and synchronizes the records with the peers. */
final class PoisonWatch {
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_REPEATED_CONTENTS = 50;

    private final HostId self;
    private final Poison poison;
    private final Consumer<HostAction> out;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private long repeatNanos = Long.MAX_VALUE;

    PoisonWatch(HostId self, Poison poison, Consumer<HostAction> out) {
        this.self = self;
        this.poison = poison;
        this.out = out;
    }

    /** Updates the fleet snapshot and sends the latest records to hosts that are new. */
    void onFleet(long nowNanos, FleetSnapshot changed) {
        Set<HostId> previous = fleet.hosts().keySet();
        fleet = changed;
        for (HostId host : changed.hosts().keySet()) {
            if (!previous.contains(host) && !host.equals(self)) {
                sendLatest(host);
            }
        }
        repeatNanos = Math.min(repeatNanos, nowNanos + REPEAT_NANOS);
    }

    /** Sends the latest records to all peers again, as messages may be lost. */
    void tick(long nowNanos) {
        if (nowNanos < repeatNanos) {
            return;
        }
        repeatNanos = nowNanos + REPEAT_NANOS;
        for (HostId host : fleet.hosts().keySet()) {
            if (!host.equals(self)) {
                sendLatest(host);
            }
        }
    }

    private void sendLatest(HostId host) {
        poison.latest(MAX_REPEATED_CONTENTS)
                .forEach(
                        (content, crashes) ->
                                crashes.forEach(
                                        crash ->
                                                out.accept(
                                                        new HostAction.SendRequest(
                                                                host, toMessage(content, crash)))));
    }

    private static RequestMessage toMessage(Fingerprint content, Poison.Crash crash) {
        return new RequestMessage.PoisonSeen(content, crash.server(), crash.run(), crash.version());
    }

    boolean isQuarantined(long nowNanos, Fingerprint fingerprint) {
        return poison.isQuarantined(nowNanos, fleet, fingerprint);
    }

    boolean isSuspect(long nowNanos, Fingerprint fingerprint) {
        return poison.isSuspect(nowNanos, fingerprint);
    }

    /** Records a crash observed by this host and broadcasts it. */
    void crashed(long nowNanos, Fingerprint content, Poison.Crash crash) {
        if (poison.crashed(nowNanos, content, crash)) {
            broadcast(toMessage(content, crash));
        }
    }

    /** Clears suspect content after a successful run on this host and broadcasts that. */
    void succeeded(long nowNanos, Fingerprint fingerprint) {
        if (poison.isSuspect(nowNanos, fingerprint) && poison.succeeded(fleet, fingerprint)) {
            broadcast(new RequestMessage.PoisonCleared(fingerprint));
        }
    }

    /**
     * Releases content on all hosts at the request of an operator; returns whether it was recorded
     * on this host.
     */
    boolean release(Fingerprint fingerprint) {
        broadcast(new RequestMessage.PoisonCleared(fingerprint));
        return poison.clear(fingerprint);
    }

    void onSeen(long nowNanos, RequestMessage.PoisonSeen seen) {
        Poison.Crash crash = new Poison.Crash(seen.server(), seen.run(), seen.version(), nowNanos);
        poison.crashed(nowNanos, seen.fingerprint(), crash);
    }

    void onCleared(RequestMessage.PoisonCleared cleared) {
        poison.clear(cleared.fingerprint());
    }

    List<QuarantinedContent> list(long nowNanos) {
        return poison.list(nowNanos, fleet);
    }

    private void broadcast(RequestMessage message) {
        for (HostId host : fleet.hosts().keySet()) {
            if (!host.equals(self)) {
                out.accept(new HostAction.SendRequest(host, message));
            }
        }
    }
}

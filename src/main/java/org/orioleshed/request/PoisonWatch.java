package org.orioleshed.request;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;

/** The host's record of content that crashes servers, kept in step with its peers. */
final class PoisonWatch {
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_REPEATED = 50;

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

    /** Learns of the fleet, and tells hosts that are new what they may have missed. */
    void onFleet(long nowNanos, FleetSnapshot changed) {
        Set<HostId> known = fleet.hosts().keySet();
        fleet = changed;
        for (HostId host : changed.hosts().keySet()) {
            if (!known.contains(host) && !host.equals(self)) {
                tellLatest(host);
            }
        }
        repeatNanos = Math.min(repeatNanos, nowNanos + REPEAT_NANOS);
    }

    /** Repeats what is under suspicion, as messages may be lost. */
    void tick(long nowNanos) {
        if (nowNanos < repeatNanos) {
            return;
        }
        repeatNanos = nowNanos + REPEAT_NANOS;
        for (HostId host : fleet.hosts().keySet()) {
            if (!host.equals(self)) {
                tellLatest(host);
            }
        }
    }

    private void tellLatest(HostId host) {
        poison.latest(MAX_REPEATED)
                .forEach(
                        (content, crashes) ->
                                crashes.forEach(
                                        crash ->
                                                out.accept(
                                                        new HostAction.SendRequest(
                                                                host, seen(content, crash)))));
    }

    private static RequestMessage seen(Fingerprint content, Poison.Crash crash) {
        return new RequestMessage.PoisonSeen(content, crash.server(), crash.run(), crash.version());
    }

    boolean isQuarantined(long nowNanos, Fingerprint fingerprint) {
        return poison.isQuarantined(nowNanos, fleet, fingerprint);
    }

    boolean isSuspect(long nowNanos, Fingerprint fingerprint) {
        return poison.isSuspect(nowNanos, fingerprint);
    }

    /** Counts a crash seen by this host and tells the others. */
    void crashed(long nowNanos, Fingerprint content, Poison.Crash crash) {
        if (poison.crashed(nowNanos, content, crash)) {
            tellAll(seen(content, crash));
        }
    }

    /** Clears a suspect that ran well here, and tells the others. */
    void succeeded(long nowNanos, Fingerprint fingerprint) {
        if (poison.isSuspect(nowNanos, fingerprint) && poison.succeeded(fleet, fingerprint)) {
            tellAll(new RequestMessage.PoisonCleared(fingerprint));
        }
    }

    /** Releases content everywhere at an operator's wish; returns whether it was known here. */
    boolean release(Fingerprint fingerprint) {
        tellAll(new RequestMessage.PoisonCleared(fingerprint));
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

    private void tellAll(RequestMessage message) {
        for (HostId host : fleet.hosts().keySet()) {
            if (!host.equals(self)) {
                out.accept(new HostAction.SendRequest(host, message));
            }
        }
    }
}

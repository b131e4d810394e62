package org.orioleshed.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.fleet.World;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** The host's record of content that crashes servers, kept in step with its peers. */
final class PoisonWatch {
    private final HostId self;
    private final Poison poison;
    private final Consumer<HostAction> out;
    private World world = World.EMPTY;

    PoisonWatch(HostId self, Poison poison, Consumer<HostAction> out) {
        this.self = self;
        this.poison = poison;
        this.out = out;
    }

    void onWorld(World changed) {
        world = changed;
    }

    boolean isHeld(long nowNanos, Fingerprint fingerprint) {
        return poison.isHeld(nowNanos, world, fingerprint);
    }

    boolean isSuspect(long nowNanos, Fingerprint fingerprint) {
        return poison.isSuspect(nowNanos, fingerprint);
    }

    /** Counts a crash seen by this host and tells the others. */
    void crashed(
            long nowNanos, Fingerprint fingerprint, ServerId server, Optional<VersionId> version) {
        if (poison.crashed(nowNanos, fingerprint, server, version)) {
            tellAll(new RequestMessage.PoisonSeen(fingerprint, server, version));
        }
    }

    /** Clears a suspect that ran well here, and tells the others. */
    void succeeded(long nowNanos, Fingerprint fingerprint) {
        if (poison.isSuspect(nowNanos, fingerprint) && poison.succeeded(world, fingerprint)) {
            tellAll(new RequestMessage.PoisonCleared(fingerprint));
        }
    }

    /** Releases content everywhere at an operator's wish; returns whether it was known here. */
    boolean release(Fingerprint fingerprint) {
        tellAll(new RequestMessage.PoisonCleared(fingerprint));
        return poison.clear(fingerprint);
    }

    void onSeen(long nowNanos, RequestMessage.PoisonSeen seen) {
        poison.crashed(nowNanos, seen.fingerprint(), seen.server(), seen.version());
    }

    void onCleared(RequestMessage.PoisonCleared cleared) {
        poison.clear(cleared.fingerprint());
    }

    List<HeldContent> list(long nowNanos) {
        return poison.list(nowNanos, world);
    }

    private void tellAll(RequestMessage message) {
        for (HostId host : world.hosts().keySet()) {
            if (!host.equals(self)) {
                out.accept(new HostAction.SendRequest(host, message));
            }
        }
    }
}

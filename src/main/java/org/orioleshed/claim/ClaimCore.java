package org.orioleshed.claim;

import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.fleet.World;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/** Claims keys in the platform's store. */
public final class ClaimCore implements Claims {
    private Claims.Listener listener;

    /** Makes one. */
    public ClaimCore(HostId self, long incarnation, ClaimLimits limits, Consumer<HostAction> out) {}

    /** Sets who hears of claims. */
    public void listener(Claims.Listener claimant) {
        this.listener = claimant;
    }

    @Override
    public void claim(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces) {
        listener.onClaimed(nowNanos, key, run, new Claims.Result.Away());
    }

    @Override
    public void disown(RequestKey key, RunId run) {}

    @Override
    public void record(long nowNanos, RequestKey key, RunId run, Outcome outcome) {}

    @Override
    public void lookUp(long nowNanos, long ticket, RequestKey key) {
        listener.onLookedUp(nowNanos, ticket, key, new Claims.Result.Away());
    }

    /** Takes an event. */
    public void on(long nowNanos, HostEvent event) {}

    /** Returns whether nothing is left to write. */
    public boolean isIdle() {
        return true;
    }

    /** Learns of the fleet. */
    void onWorld(World world) {}
}

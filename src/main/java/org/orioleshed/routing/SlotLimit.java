package org.orioleshed.routing;

import org.orioleshed.host.HostEvent;

/**
 * How many requests may run at once on one backend server: at most its places as its settings state
 * them, and as few as its own latencies, its failures and the work of others demand.
 */
final class SlotLimit {
    private final Policy policy;
    private final AdaptiveLimit adaptive;
    private final ServerBackoff backoff;
    private final ForeignLoad foreign = new ForeignLoad();
    private int slots;

    SlotLimit(Policy policy, AdaptiveLimit adaptive, ServerBackoff backoff, int slots) {
        this.policy = policy;
        this.adaptive = adaptive;
        this.backoff = backoff;
        this.slots = slots;
    }

    /** Returns the server's places as its settings state them. */
    int slots() {
        return slots;
    }

    /** Returns how many requests may run at once at present. */
    int current() {
        if (policy == Policy.NAIVE) {
            return slots;
        }
        if (backoff.probing()) {
            return 1;
        }
        return Math.max(1, adaptive.current() - foreign.requests());
    }

    void setSlots(int now) {
        slots = now;
        adaptive.setSlots(now);
    }

    void reported(HostEvent.LoadReported report) {
        foreign.reported(report.running() + report.waiting(), report.ageMillis());
    }

    void tick(long nowNanos, int inFlight, boolean moreWaiting) {
        adaptive.load(inFlight, moreWaiting);
        adaptive.tick(nowNanos);
        foreign.recordOwn(inFlight, nowNanos);
    }
}

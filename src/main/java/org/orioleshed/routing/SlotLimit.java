package org.orioleshed.routing;

import org.orioleshed.host.HostEvent;

/**
 * The number of requests that may run at once on one backend server: at most its configured slots,
 * reduced by the adaptive limit, by failures and by foreign load.
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

    /** Returns the number of slots that the server's settings state. */
    int slots() {
        return slots;
    }

    /** Returns the number of requests that may run at once at present. */
    int current() {
        if (policy == Policy.NAIVE) {
            return slots;
        }
        if (backoff.probing()) {
            return 1;
        }
        return Math.max(1, adaptive.current() - foreign.requests());
    }

    void setSlots(int newSlots) {
        slots = newSlots;
        adaptive.setSlots(newSlots);
    }

    void reported(HostEvent.LoadReported report) {
        foreign.reported(report.running() + report.waiting(), report.ageMillis());
    }

    void tick(long nowNanos, int inFlight, boolean moreWaiting) {
        adaptive.recordLoad(inFlight, moreWaiting);
        adaptive.tick(nowNanos);
        foreign.recordOwn(inFlight, nowNanos);
    }
}

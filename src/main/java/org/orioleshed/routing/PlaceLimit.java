package org.orioleshed.routing;

import org.orioleshed.host.HostEvent;

/**
 * How many requests may run at once on one backend server: at most its places as its settings state
 * them, and as few as its own latencies, its failures and the work of others demand.
 */
final class PlaceLimit {
    private final Policy policy;
    private final AdaptiveLimit adaptive;
    private final HoldOff holdOff;
    private final ForeignLoad foreign = new ForeignLoad();
    private int places;

    PlaceLimit(Policy policy, AdaptiveLimit adaptive, HoldOff holdOff, int places) {
        this.policy = policy;
        this.adaptive = adaptive;
        this.holdOff = holdOff;
        this.places = places;
    }

    /** Returns the server's places as its settings state them. */
    int places() {
        return places;
    }

    /** Returns how many requests may run at once at present. */
    int current() {
        if (policy == Policy.NAIVE) {
            return places;
        }
        if (holdOff.probing()) {
            return 1;
        }
        return Math.max(1, adaptive.current() - foreign.requests());
    }

    void setPlaces(int now) {
        places = now;
        adaptive.setPlaces(now);
    }

    void reported(HostEvent.LoadReported report) {
        foreign.reported(report.running() + report.waiting(), report.ageMillis());
    }

    void tick(long nowNanos, int inFlight, boolean moreWait) {
        adaptive.load(inFlight, moreWait);
        adaptive.tick(nowNanos);
        foreign.own(inFlight, nowNanos);
    }
}

package org.orioleshed.trial;

import java.util.List;
import java.util.Locale;

/** A load over time, with bursts and slowdowns of engines. */
enum LoadPattern {
    /** A constant load below capacity. */
    STEADY(0.75, 1, 10, 0, 0, 1),
    /** Bursts to one and a half times the capacity. */
    BURSTS(0.75, 2, 12, 4, 0, 1),
    /** A constant load above capacity. */
    OVERLOAD(1.3, 1, 10, 0, 0, 1),
    /** A quarter of the engines are slower by a factor of four during each burst. */
    SLOW_ENGINES(0.75, 1.2, 12, 5, 0.25, 4);

    /** The time during which requests arrive. */
    static final double DURATION_SECONDS = 40;

    /**
     * The kinds of requests, with their rates at a load of 1 on one engine of speed 1: interactive
     * requests with long and with short outputs, and many small patient requests.
     */
    static final List<RequestKind> KINDS =
            List.of(
                    new RequestKind("long", 0, 1.8, 6_670, 380, 520, 10_400, 8.3, 2.5),
                    new RequestKind("short", 1, 1.56, 690, 290, 610, 10_100, 1.6, 0.48),
                    new RequestKind("patient", 2, 3.84, 1_860, 20, 1_010, 2_520, 0.21, 0.06));

    /** The load outside bursts as a share of the capacity. */
    final double load;

    /** The factor by which the load rises during bursts. */
    final double burstFactor;

    /** The period of bursts; a burst is at the end of each period. */
    final double burstPeriodSeconds;

    /** The duration of a burst. */
    final double burstSeconds;

    /** The share of engines that slow down during bursts, from 0 to 1. */
    final double slowShare;

    /** The factor by which the steps of slow engines take longer. */
    final double slowdown;

    LoadPattern(
            double load,
            double burstFactor,
            double burstPeriodSeconds,
            double burstSeconds,
            double slowShare,
            double slowdown) {
        this.load = load;
        this.burstFactor = burstFactor;
        this.burstPeriodSeconds = burstPeriodSeconds;
        this.burstSeconds = burstSeconds;
        this.slowShare = slowShare;
        this.slowdown = slowdown;
    }

    /** Returns the name in reports. */
    String id() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean isBurst(double seconds) {
        return seconds % burstPeriodSeconds >= burstPeriodSeconds - burstSeconds;
    }

    /** Returns the arrival rate of a kind at a time, in requests per second. */
    double rate(RequestKind kind, double seconds, double totalSpeed) {
        return kind.perSecond() * totalSpeed * load * (isBurst(seconds) ? burstFactor : 1);
    }
}

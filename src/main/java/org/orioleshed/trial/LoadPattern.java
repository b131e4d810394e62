package org.orioleshed.trial;

import java.util.List;
import java.util.Locale;

/** A load and what strikes it. */
enum LoadPattern {
    /** Fewer requests than the engines can serve. */
    STEADY(0.75, 1, 10, 0, 0, 1),
    /** Twice a burst to half as much again as the engines can serve. */
    BURSTS(0.75, 2, 12, 4, 0, 1),
    /** More than the engines can serve all the time. */
    OVERLOAD(1.3, 1, 10, 0, 0, 1),
    /** A quarter of the engines turn four times as slow in each burst. */
    SLOW_ENGINES(0.75, 1.2, 12, 5, 0.25, 4);

    /** Callers send for so long. */
    static final double SECONDS = 40;

    /**
     * The kinds, at the rates of a load of 1 on one engine of usual speed: long and short answers
     * that callers wait for, and many small patient ones.
     */
    static final List<RequestKind> KINDS =
            List.of(
                    new RequestKind("long", 0, 1.8, 6_670, 380, 520, 10_400, 8.3, 2.5),
                    new RequestKind("short", 1, 1.56, 690, 290, 610, 10_100, 1.6, 0.48),
                    new RequestKind("patient", 2, 3.84, 1_860, 20, 1_010, 2_520, 0.21, 0.06));

    /** The part of the engines' capacity that is asked for on average. */
    final double load;

    /** By what the load is multiplied in bursts. */
    final double burst;

    /** A burst ends at this interval. */
    final double burstEverySeconds;

    /** How long a burst takes. */
    final double burstSeconds;

    /** The part of the engines that turn slow in bursts, from 0 to 1. */
    final double slowPart;

    /** By what their steps are longer then. */
    final double slowness;

    LoadPattern(
            double load,
            double burst,
            double burstEverySeconds,
            double burstSeconds,
            double slowPart,
            double slowness) {
        this.load = load;
        this.burst = burst;
        this.burstEverySeconds = burstEverySeconds;
        this.burstSeconds = burstSeconds;
        this.slowPart = slowPart;
        this.slowness = slowness;
    }

    /** Returns its name as users write it. */
    String id() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean isBurst(double seconds) {
        return seconds % burstEverySeconds >= burstEverySeconds - burstSeconds;
    }

    /** Returns the requests of a kind that come a second, by all callers. */
    double rate(RequestKind kind, double seconds, double engines) {
        return kind.perSecond() * engines * load * (isBurst(seconds) ? burst : 1);
    }
}

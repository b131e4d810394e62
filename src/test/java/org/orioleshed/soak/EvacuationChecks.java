package org.orioleshed.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks that no host in touch sends requests to servers of an evacuated failure domain after the
 * bound. Requests that servers answered with 421 are not recorded as runs.
 */
final class EvacuationChecks {
    private static final long BOUND_NANOS =
            TimeUnit.MILLISECONDS.toNanos(HostSettings.EVACUATE_MILLIS);

    private final HistoryIndex index;
    private final Findings findings;

    EvacuationChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        index.history().all(History.Evacuation.class).forEach(this::check);
    }

    private void check(History.Evacuation evacuation) {
        long boundNanos = evacuation.acknowledgedNanos() + BOUND_NANOS;
        if (boundNanos >= evacuation.removalNanos()) {
            findings.add("PROBLEM", "", "an evacuation ended before its bound: " + evacuation);
        }
        List<Run> late =
                index.runs().stream()
                        .filter(run -> run.zone().equals(evacuation.zone()))
                        .filter(run -> run.arrivedNanos() > boundNanos)
                        .filter(run -> run.arrivedNanos() < evacuation.removalNanos())
                        .filter(this::isFromUndisturbedHost)
                        .toList();
        for (Run run : late) {
            findings.add(
                    "EVAC",
                    run.id(),
                    "arrived at %s %d ms after the evacuation bound of %s"
                            .formatted(
                                    run.server(),
                                    TimeUnit.NANOSECONDS.toMillis(run.arrivedNanos() - boundNanos),
                                    evacuation.zone()));
        }
    }

    private boolean isFromUndisturbedHost(Run run) {
        Call call = index.calls().get(run.id());
        return call != null
                && index.isUndisturbed(call.host(), call.sentNanos(), run.arrivedNanos());
    }

    /** Returns the requests that reached each evacuated domain, by phase, one domain a line. */
    static String describe(History history) {
        StringBuilder text = new StringBuilder();
        for (History.Evacuation it : history.all(History.Evacuation.class)) {
            long boundNanos = it.acknowledgedNanos() + BOUND_NANOS;
            text.append(
                    "  requests at %s: before=%d within_bound=%d late=%d after=%d%n"
                            .formatted(
                                    it.zone(),
                                    arrivals(history, it.zone(), 0, it.acknowledgedNanos()),
                                    arrivals(
                                            history, it.zone(), it.acknowledgedNanos(), boundNanos),
                                    arrivals(history, it.zone(), boundNanos, it.removalNanos()),
                                    arrivals(
                                            history,
                                            it.zone(),
                                            it.removalNanos(),
                                            Long.MAX_VALUE)));
        }
        return text.toString();
    }

    private static long arrivals(History history, String zone, long fromNanos, long toNanos) {
        return history.all(Run.class).stream()
                .filter(run -> run.zone().equals(zone))
                .filter(run -> run.arrivedNanos() >= fromNanos && run.arrivedNanos() < toNanos)
                .count();
    }
}

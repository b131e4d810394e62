package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Lookups of the checks in the history of a finished soak. */
final class HistoryIndex {
    /** The time after its end for which a fault may still have effects. */
    private static final long FAULT_EFFECT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** The time within which a stopped host is started again. */
    private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final History history;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final List<History.Stop> stops;

    HistoryIndex(History history) {
        this.history = history;
        this.stops = history.all(History.Stop.class);
        history.all(Call.class).forEach(call -> calls.put(call.id(), call));
        for (Run run : history.all(Run.class)) {
            runs.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(run);
        }
    }

    History history() {
        return history;
    }

    Map<String, Call> calls() {
        return calls;
    }

    List<Run> runs() {
        return history.all(Run.class);
    }

    /** Returns the arrivals of a call at servers, also those that were refused. */
    List<Run> runs(String id) {
        return runs.getOrDefault(id, List.of());
    }

    /** Returns how many times servers started work on a call. */
    long runCount(String id) {
        return runs(id).stream().filter(Run::hasRun).count();
    }

    List<History.Stop> stops() {
        return stops;
    }

    /** Returns whether no unplanned fault of any host could have effects in an interval. */
    boolean isFaultFree(long fromNanos, long toNanos) {
        return history.all(History.Impairment.class).stream()
                .noneMatch(it -> it.isWithin(fromNanos - FAULT_EFFECT_NANOS, toNanos));
    }

    /**
     * Returns whether neither a stop of a host, nor a fault of it or of all hosts, could have
     * effects on it in an interval.
     */
    boolean isUndisturbed(int host, long fromNanos, long toNanos) {
        long effectFromNanos = fromNanos - FAULT_EFFECT_NANOS;
        boolean stopped =
                stops.stream()
                        .filter(it -> it.host() == host && it.beforeSignalNanos() <= toNanos)
                        .anyMatch(it -> it.endNanos() + RESTART_NANOS >= effectFromNanos);
        return !stopped
                && history.all(History.Impairment.class).stream()
                        .filter(it -> it.host() == host || it.host() == History.ALL_HOSTS)
                        .noneMatch(it -> it.isWithin(effectFromNanos, toNanos));
    }

    /** Returns the recorded attempt and runs of a call, one a line. */
    String timeline(String id) {
        StringBuilder timeline = new StringBuilder();
        Call call = calls.get(id);
        if (call != null) {
            timeline.append(
                    "  %7d to %d ms: caller %s host=%d keepAlive=%s end=%s status=%d %s%n"
                            .formatted(
                                    history.millis(call.sentNanos()),
                                    history.millis(call.endNanos()),
                                    call.request().work().path(),
                                    call.host(),
                                    call.keepAlive(),
                                    call.end(),
                                    call.status(),
                                    call.detail()));
        }
        for (Run run : runs(id)) {
            timeline.append(
                    "  %7d ms: arrived at %s, work from %d to %d ms, %s%n"
                            .formatted(
                                    history.millis(run.arrivedNanos()),
                                    run.server(),
                                    run.hasRun() ? history.millis(run.startedNanos()) : -1,
                                    history.millis(run.endNanos()),
                                    run.end()));
        }
        return timeline.toString();
    }
}

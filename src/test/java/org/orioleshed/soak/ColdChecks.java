package org.orioleshed.soak;

import java.util.Comparator;
import java.util.List;

/**
 * Checks that a cold server receives no more requests in any second than the rule allows. A request
 * counts where its caller sent it and the server received it within the same second.
 */
final class ColdChecks {
    private final HistoryIndex index;
    private final Findings findings;

    private record Counted(String id, long sentNanos, long arrivedNanos) {}

    ColdChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        index.history().all(History.Cold.class).forEach(this::check);
    }

    private void check(History.Cold cold) {
        List<Counted> counted = counted(index, cold);
        for (Counted first : counted) {
            long count = countFrom(first.sentNanos(), counted);
            if (count > ColdState.MAX_PER_SECOND) {
                findings.add(
                        "FAILBACK",
                        first.id(),
                        "%d requests in the second from %d ms at cold %s, %.1f allowed"
                                .formatted(
                                        count,
                                        index.history().millis(first.sentNanos()),
                                        cold.server(),
                                        ColdState.MAX_PER_SECOND));
                return;
            }
        }
    }

    private static List<Counted> counted(HistoryIndex index, History.Cold cold) {
        return index.runs().stream()
                .filter(run -> run.server().equals(cold.server()))
                .filter(run -> run.arrivedNanos() >= cold.fromNanos())
                .filter(run -> run.arrivedNanos() < cold.toNanos())
                .filter(run -> index.calls().containsKey(run.id()))
                .map(
                        run ->
                                new Counted(
                                        run.id(),
                                        index.calls().get(run.id()).sentNanos(),
                                        run.arrivedNanos()))
                .sorted(Comparator.comparingLong(Counted::sentNanos))
                .toList();
    }

    private static long countFrom(long fromNanos, List<Counted> counted) {
        return counted.stream()
                .filter(it -> it.sentNanos() >= fromNanos)
                .filter(it -> it.arrivedNanos() < fromNanos + ColdState.WINDOW_NANOS)
                .count();
    }

    /** Returns the most requests that each cold server received in a second, one server a line. */
    static String describe(HistoryIndex index) {
        StringBuilder text = new StringBuilder();
        for (History.Cold cold : index.history().all(History.Cold.class)) {
            List<Counted> counted = counted(index, cold);
            long most =
                    counted.stream()
                            .mapToLong(it -> countFrom(it.sentNanos(), counted))
                            .max()
                            .orElse(0);
            text.append(
                    "  requests at cold %s: total=%d most_in_a_second=%d allowed=%.1f%n"
                            .formatted(
                                    cold.server(), counted.size(), most, ColdState.MAX_PER_SECOND));
        }
        return text.toString();
    }
}

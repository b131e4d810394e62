package org.orioleshed.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.orioleshed.host.Decision;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Request;

/** Counts and times what an entry host does for its callers. */
final class EntryMetrics {
    private final MetricRegistry registry;

    EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** A request passed the door. */
    void admitted(Request request) {
        registry.counter("requests.admitted." + request.tier()).inc();
    }

    /** A request was turned down at the door. */
    void refusedAtDoor(String code) {
        registry.counter("requests.refused." + code).inc();
    }

    /** A request has its outcome. */
    void ended(Request request, Outcome outcome, long nowNanos) {
        registry.counter("requests." + name(outcome) + "." + request.tier()).inc();
        registry.timer("requests.time." + request.tier())
                .update(nowNanos - request.arrivedNanos(), TimeUnit.NANOSECONDS);
    }

    /** The first token of an answer is on its way to the caller. */
    void firstToken(Request request, long nowNanos) {
        registry.timer("tokens.first." + request.tier())
                .update(nowNanos - request.arrivedNanos(), TimeUnit.NANOSECONDS);
    }

    /** Further tokens came {@code gapNanos} after the ones before. */
    void tokens(Request request, int count, long gapNanos) {
        registry.counter("tokens.written." + request.tier()).inc(count);
        registry.timer("tokens.gap." + request.tier()).update(gapNanos, TimeUnit.NANOSECONDS);
    }

    /** A decision was taken. */
    void decided(Decision decision) {
        registry.counter("decisions." + decision.kind()).inc();
    }

    private static String name(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> "answered";
            case Outcome.Failed failed -> "failed." + lower(failed.reason());
            case Outcome.NotRun notRun -> "not_run." + lower(notRun.reason());
            case Outcome.InDoubt inDoubt -> "in_doubt";
        };
    }

    private static String lower(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}

package org.orioleshed.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.orioleshed.host.Decision;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Request;

/** Records metrics of the requests of an entry host. */
final class EntryMetrics {
    private final MetricRegistry registry;

    EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Counts a request that passed validation. */
    void admitted(Request request) {
        registry.counter("requests.admitted." + request.tier()).inc();
    }

    /** Counts an invalid request by its error code. */
    void rejected(String code) {
        registry.counter("requests.refused." + code).inc();
    }

    /** Records the outcome of a request and its duration. */
    void ended(Request request, Outcome outcome, long nowNanos) {
        registry.counter("requests." + outcomeName(outcome) + "." + request.tier()).inc();
        registry.timer("requests.time." + request.tier())
                .update(nowNanos - request.arrivedNanos(), TimeUnit.NANOSECONDS);
    }

    /** Records the time to the first token. */
    void firstToken(Request request, long nowNanos) {
        registry.timer("tokens.first." + request.tier())
                .update(nowNanos - request.arrivedNanos(), TimeUnit.NANOSECONDS);
    }

    /** Records further tokens, {@code gapNanos} after the previous ones. */
    void tokens(Request request, int count, long gapNanos) {
        registry.counter("tokens.written." + request.tier()).inc(count);
        registry.timer("tokens.gap." + request.tier()).update(gapNanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a decision by its kind. */
    void decided(Decision decision) {
        registry.counter("decisions." + decision.kind()).inc();
    }

    private static String outcomeName(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> "answered";
            case Outcome.Failed failed -> "failed." + lowerCase(failed.reason());
            case Outcome.NotRun notRun -> "not_run." + lowerCase(notRun.reason());
            case Outcome.InDoubt inDoubt -> "in_doubt";
        };
    }

    private static String lowerCase(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}

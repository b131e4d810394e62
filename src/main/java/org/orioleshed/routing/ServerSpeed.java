package org.orioleshed.routing;

import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.RouteId;
import org.orioleshed.routing.RoutingMessage.Offer;

/**
 * The current speed of one engine, estimated from its own streams, or from the history of similar
 * servers while there are no samples.
 */
final class ServerSpeed {
    private static final long DEFAULT_GAP_MICROS = 30_000;
    private static final long DEFAULT_PREFILL_NANOS = 500_000;
    private static final double GAP_SAMPLE_WEIGHT = 0.02;
    private static final double PREFILL_SAMPLE_WEIGHT = 0.1;
    private static final int MIN_PREFILL_TOKENS = 64;
    private static final int MIN_SAMPLES = 20;
    private static final long DEFAULT_OUTPUT_TOKENS = 150;

    private final SpeedHistory speedHistory;
    private BackendServer server;
    private double gapMicros = -1;
    private double prefillNanosPerToken = -1;

    ServerSpeed(SpeedHistory speedHistory, BackendServer server) {
        this.speedHistory = speedHistory;
        this.server = server;
    }

    void setServer(BackendServer newServer) {
        server = newServer;
    }

    /** Discards the samples after a change of the version or the target. */
    void clear() {
        gapMicros = -1;
        prefillNanosPerToken = -1;
    }

    void recordGap(RouteId route, long micros) {
        gapMicros = gapMicros < 0 ? micros : gapMicros + GAP_SAMPLE_WEIGHT * (micros - gapMicros);
        speedHistory.forRoute(server, route).gapMicros().add(micros);
    }

    void recordFirstToken(RouteId route, int uncachedTokens, long nanos) {
        if (uncachedTokens < MIN_PREFILL_TOKENS) {
            return;
        }
        double sample = (double) nanos / uncachedTokens;
        prefillNanosPerToken =
                prefillNanosPerToken < 0
                        ? sample
                        : prefillNanosPerToken
                                + PREFILL_SAMPLE_WEIGHT * (sample - prefillNanosPerToken);
        speedHistory.forRoute(server, route).prefillNanosPerToken().add((long) sample);
    }

    void recordAnswer(RouteId route, int tokens) {
        speedHistory.forRoute(server, route).outputTokens().add(tokens);
    }

    long gapMicros(RouteId route) {
        if (gapMicros >= 0) {
            return (long) gapMicros;
        }
        Quantiles history = speedHistory.forRoute(server, route).gapMicros();
        return history.count() > 0 ? history.median() : DEFAULT_GAP_MICROS;
    }

    /**
     * Returns the time between tokens at the current load, in microseconds; zero without samples.
     */
    long gapMicrosNow() {
        return Math.max(0, (long) gapMicros);
    }

    /** Returns the prefill speed in tokens per second; zero without samples. */
    int prefillTokensPerSecond() {
        return prefillNanosPerToken <= 0 ? 0 : (int) (1e9 / prefillNanosPerToken);
    }

    long prefillMillis(RouteId route, int uncachedTokens) {
        return (long)
                (uncachedTokens * prefillNanosPerToken(route) / DecisionContext.NANOS_PER_MILLI);
    }

    /** Returns the expected prefill time on an otherwise idle engine, in microseconds. */
    long prefillAloneMicros(RouteId route, int uncachedTokens) {
        Quantiles history = speedHistory.forRoute(server, route).prefillNanosPerToken();
        long nanosPerToken = history.count() > 0 ? history.median() : DEFAULT_PREFILL_NANOS;
        return uncachedTokens * nanosPerToken / 1_000;
    }

    /** Returns the expected duration of a whole run, in milliseconds. */
    long workMillis(Offer offer, int uncachedTokens) {
        return prefillMillis(offer.route(), uncachedTokens)
                + expectedTokens(offer) * gapMicros(offer.route()) / 1_000;
    }

    /**
     * Returns the expected length of the answer, in tokens: the mean over similar requests, padded
     * with a default while there are few samples.
     */
    int expectedTokens(Offer offer) {
        Quantiles lengths = speedHistory.forRoute(server, offer.route()).outputTokens();
        long seen = lengths.count();
        long padding = seen >= MIN_SAMPLES ? 0 : MIN_SAMPLES - seen;
        long mean = (seen * lengths.mean() + padding * DEFAULT_OUTPUT_TOKENS) / (seen + padding);
        return (int) Math.min(offer.outputTokens(), mean);
    }

    /** Returns the expected time until {@code run} ends, in milliseconds. */
    long remainingMillis(EngineRun run, long nowNanos) {
        Offer offer = run.waiting().offer();
        return run.remainingMillis(nowNanos, expectedTokens(offer), gapMicros(offer.route()));
    }

    /** Returns the work that a preemption of {@code run} would waste, in milliseconds. */
    long wasteMillis(EngineRun run, long nowNanos) {
        long gapMicros = gapMicros(run.waiting().offer().route());
        return run.wasteMillis(nowNanos, server.canResume(), gapMicros);
    }

    /**
     * Returns the duration of a run at the 90th percentile of the answer length, in milliseconds;
     * at the request's output limit while there are few samples.
     */
    long safeWorkMillis(Offer offer, int uncachedTokens) {
        Quantiles lengths = speedHistory.forRoute(server, offer.route()).outputTokens();
        long tokens = offer.outputTokens();
        if (lengths.count() >= MIN_SAMPLES) {
            tokens = Math.min(tokens, lengths.p90());
        }
        return prefillMillis(offer.route(), uncachedTokens)
                + tokens * gapMicros(offer.route()) / 1_000;
    }

    private double prefillNanosPerToken(RouteId route) {
        if (prefillNanosPerToken > 0) {
            return prefillNanosPerToken;
        }
        Quantiles history = speedHistory.forRoute(server, route).prefillNanosPerToken();
        return history.count() > 0 ? history.median() : DEFAULT_PREFILL_NANOS;
    }
}

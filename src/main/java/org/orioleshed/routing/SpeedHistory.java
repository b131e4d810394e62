package org.orioleshed.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;

/**
 * Speeds and answer lengths of past runs, by target, version, hardware generation and route. The
 * least recently used entries are evicted.
 */
final class SpeedHistory {
    private static final int MAX_ENTRIES = 512;

    private final Map<Key, Speed> speeds =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Key, Speed> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    Speed forRoute(BackendServer server, RouteId route) {
        Key key = new Key(server.target(), server.version(), server.generation(), route);
        return speeds.computeIfAbsent(key, k -> new Speed());
    }

    /** The statistics of similar runs. */
    static final class Speed {
        private static final long MAX_GAP_MICROS = 60_000_000;
        private static final long MAX_PREFILL_NANOS = 1_000_000_000;
        private static final long MAX_TOKENS = 1_000_000;

        private final Quantiles gapMicros = new Quantiles(MAX_GAP_MICROS);
        private final Quantiles prefillNanosPerToken = new Quantiles(MAX_PREFILL_NANOS);
        private final Quantiles outputTokens = new Quantiles(MAX_TOKENS);

        /** Returns the time between tokens, in microseconds. */
        Quantiles gapMicros() {
            return gapMicros;
        }

        /** Returns the time to prefill a token, in nanoseconds. */
        Quantiles prefillNanosPerToken() {
            return prefillNanosPerToken;
        }

        /** Returns the length of whole answers, in tokens. */
        Quantiles outputTokens() {
            return outputTokens;
        }
    }

    private record Key(Target target, VersionId version, String generation, RouteId route) {}
}

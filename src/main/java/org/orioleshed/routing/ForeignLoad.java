package org.orioleshed.routing;

/**
 * Requests on an engine that its owner did not start, such as those of an earlier owner: what the
 * engine's late reports show beyond all that the owner had there lately.
 */
final class ForeignLoad {
    private static final long MEMORY_NANOS = 2_000_000_000L;
    private static final long OLDEST_REPORT_MILLIS = 2_000;

    private long periodStartNanos;
    private int mostInPeriod;
    private int mostBefore;
    private int requests;

    void own(int inFlight, long nowNanos) {
        if (nowNanos - periodStartNanos > MEMORY_NANOS) {
            periodStartNanos = nowNanos;
            mostBefore = mostInPeriod;
            mostInPeriod = 0;
        }
        mostInPeriod = Math.max(mostInPeriod, inFlight);
    }

    void reported(int onEngine, long ageMillis) {
        if (ageMillis <= OLDEST_REPORT_MILLIS) {
            requests = Math.max(0, onEngine - Math.max(mostInPeriod, mostBefore));
        }
    }

    int requests() {
        return requests;
    }
}

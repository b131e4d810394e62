package org.orioleshed.routing;

/**
 * Estimates the requests on an engine that its owner did not start, such as those of an earlier
 * owner: the count in the engine's delayed load reports, less the maximum that the owner had in
 * flight during the current and the previous period.
 */
final class ForeignLoad {
    private static final long PERIOD_NANOS = 2_000_000_000L;
    private static final long MAX_REPORT_AGE_MILLIS = 2_000;

    private long periodStartNanos;
    private int maxInPeriod;
    private int maxBefore;
    private int requests;

    void recordOwn(int inFlight, long nowNanos) {
        if (nowNanos - periodStartNanos > PERIOD_NANOS) {
            periodStartNanos = nowNanos;
            maxBefore = maxInPeriod;
            maxInPeriod = 0;
        }
        maxInPeriod = Math.max(maxInPeriod, inFlight);
    }

    void reported(int onEngine, long ageMillis) {
        if (ageMillis <= MAX_REPORT_AGE_MILLIS) {
            requests = Math.max(0, onEngine - Math.max(maxInPeriod, maxBefore));
        }
    }

    int requests() {
        return requests;
    }
}

package org.orioleshed.trial;

import java.util.random.RandomGenerator;

/**
 * Sends each request immediately to an engine, where it is queued in order of arrival. The engine
 * is the one with the lower last reported load of two random choices.
 */
final class EngineQueues implements TrialPolicy {
    private final Context context;
    private final RandomGenerator random;
    private final long reportIntervalNanos;
    private final int[] reportedLoads;
    private long lastReportNanos;

    /**
     * Creates a policy.
     *
     * @param reportIntervalMillis the interval of load reports, in milliseconds; 0 for the current
     *     load
     */
    EngineQueues(Context context, RandomGenerator random, long reportIntervalMillis) {
        this.context = context;
        this.random = random;
        this.reportIntervalNanos = reportIntervalMillis * SimulatedEngine.NANOS_PER_MILLI;
        this.reportedLoads = new int[context.engines()];
    }

    @Override
    public void onArrival(TrialRequest request, long nowNanos) {
        if (nowNanos - lastReportNanos >= reportIntervalNanos) {
            lastReportNanos = nowNanos;
            for (int engine = 0; engine < reportedLoads.length; engine++) {
                reportedLoads[engine] = context.load(engine);
            }
        }
        int first = random.nextInt(reportedLoads.length);
        int second = random.nextInt(reportedLoads.length);
        context.send(request, reportedLoads[first] <= reportedLoads[second] ? first : second);
    }

    @Override
    public void onFirstEvent(TrialRequest request, long nowNanos) {}

    @Override
    public void onCompleted(TrialRequest request, int events, long nowNanos) {}

    @Override
    public void onCallerLeft(TrialRequest request, long nowNanos) {}

    @Override
    public void onTick(long nowNanos) {}
}

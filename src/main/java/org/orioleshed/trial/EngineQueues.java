package org.orioleshed.trial;

import java.util.random.RandomGenerator;

/**
 * Sends each request to an engine at once, where it waits in order of arrival: the better of two
 * random engines by what they reported last.
 */
final class EngineQueues implements Policy {
    private final Floor floor;
    private final RandomGenerator random;
    private final long reportNanos;
    private final int[] reported;
    private long reportedNanos;

    /**
     * Makes one.
     *
     * @param reportMillis the interval of the engines' reports; 0 for what they have now
     */
    EngineQueues(Floor floor, RandomGenerator random, long reportMillis) {
        this.floor = floor;
        this.random = random;
        this.reportNanos = reportMillis * ModelEngine.NANOS_PER_MILLI;
        this.reported = new int[floor.engines()];
    }

    @Override
    public void came(TrialRequest request, long nowNanos) {
        if (nowNanos - reportedNanos >= reportNanos) {
            reportedNanos = nowNanos;
            for (int engine = 0; engine < reported.length; engine++) {
                reported[engine] = floor.load(engine);
            }
        }
        int one = random.nextInt(reported.length);
        int other = random.nextInt(reported.length);
        floor.send(request, reported[one] <= reported[other] ? one : other);
    }

    @Override
    public void first(TrialRequest request, long nowNanos) {}

    @Override
    public void ended(TrialRequest request, int events, long nowNanos) {}

    @Override
    public void left(TrialRequest request, long nowNanos) {}

    @Override
    public void tick(long nowNanos) {}
}

package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The work of each rank that a pool's servers recently started; its weight decays exponentially.
 */
final class RankLoad {
    /** Bursts last seconds, so the load of about the last second predicts that of the next. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<Integer, Double> workMillis = new HashMap<>();
    private long decayedNanos;

    /**
     * Records that a run started.
     *
     * @param millis how long it occupies a slot, in milliseconds
     */
    void add(int rank, double millis, long nowNanos) {
        decay(nowNanos);
        workMillis.merge(rank, millis, Double::sum);
    }

    /** Returns the average number of slots that runs of ranks before {@code rank} occupy. */
    double slotsUsedBefore(int rank, long nowNanos) {
        decay(nowNanos);
        double sum = 0;
        for (Map.Entry<Integer, Double> entry : workMillis.entrySet()) {
            sum += entry.getKey() < rank ? entry.getValue() : 0;
        }
        return sum / TIME_CONSTANT_MILLIS;
    }

    private void decay(long nowNanos) {
        double factor =
                Math.exp(-(nowNanos - decayedNanos) / (TIME_CONSTANT_MILLIS * NANOS_PER_MILLI));
        decayedNanos = nowNanos;
        workMillis.replaceAll((rank, millis) -> millis * factor);
    }
}

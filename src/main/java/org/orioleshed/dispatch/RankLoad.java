package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;

/** How much work of each rank a pool's servers began of late; older work counts less. */
final class RankLoad {
    /** Bursts last seconds; the load of the last second or so says what the next one brings. */
    private static final double MEMORY_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<Integer, Double> workMillis = new HashMap<>();
    private long agedNanos;

    /**
     * Notes that work began.
     *
     * @param millis how long it keeps a place
     */
    void add(int rank, double millis, long nowNanos) {
        age(nowNanos);
        workMillis.merge(rank, millis, Double::sum);
    }

    /** Returns the places that work of more urgent ranks than {@code rank} keeps on average. */
    double placesBefore(int rank, long nowNanos) {
        age(nowNanos);
        double sum = 0;
        for (Map.Entry<Integer, Double> entry : workMillis.entrySet()) {
            sum += entry.getKey() < rank ? entry.getValue() : 0;
        }
        return sum / MEMORY_MILLIS;
    }

    private void age(long nowNanos) {
        double factor = Math.exp(-(nowNanos - agedNanos) / (MEMORY_MILLIS * NANOS_PER_MILLI));
        agedNanos = nowNanos;
        workMillis.replaceAll((rank, millis) -> millis * factor);
    }
}

package org.orioleshed.move;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;

/**
 * Tells slow runs from others: a run is slow when it took longer for its work than nine in ten of
 * the old version's latest runs of the same kind. Kinds differ by route, load band, hardware
 * generation and amount of work, so that like is compared with like.
 */
final class SlowScale {
    private static final double SLOW_QUANTILE = 0.9;
    private static final double BUCKET_BASE_LOG = Math.log(4);

    private final Map<Kind, Window> windows = new HashMap<>();

    /** Whether a run was slow. */
    enum Answer {
        /** It took longer than nine in ten. */
        SLOW,
        /** It did not. */
        NORMAL,
        /** Too few runs of its kind are known. */
        UNKNOWN
    }

    /** Judges a run. */
    Answer judge(RouteId route, LoadBand band, String generation, RunResult result) {
        Window window = windows.get(kind(route, band, generation, result));
        if (window == null || !window.isReady()) {
            return Answer.UNKNOWN;
        }
        return value(result) > window.threshold() ? Answer.SLOW : Answer.NORMAL;
    }

    /** Takes a whole run of the old version into the scale. */
    void learn(RouteId route, LoadBand band, String generation, RunResult result) {
        windows.computeIfAbsent(kind(route, band, generation, result), kind -> new Window())
                .add(value(result));
    }

    private static Kind kind(RouteId route, LoadBand band, String generation, RunResult result) {
        int bucket = (int) (Math.log(result.work()) / BUCKET_BASE_LOG);
        return new Kind(route, band, generation, bucket);
    }

    private static double value(RunResult result) {
        return result.millis() / result.work();
    }

    private record Kind(RouteId route, LoadBand band, String generation, int workBucket) {}

    /** The latest values of one kind. */
    private static final class Window {
        private static final int LENGTH = 128;
        private static final int READY = 32;
        private static final int REFRESH = 16;

        private final double[] values = new double[LENGTH];
        private int count;
        private double threshold;

        boolean isReady() {
            return count >= READY;
        }

        double threshold() {
            return threshold;
        }

        void add(double value) {
            values[count % LENGTH] = value;
            count++;
            if (count % REFRESH == 0) {
                refresh();
            }
        }

        private void refresh() {
            double[] sorted = Arrays.copyOf(values, Math.min(count, LENGTH));
            Arrays.sort(sorted);
            threshold = sorted[(int) (sorted.length * SLOW_QUANTILE)];
        }
    }
}

package org.orioleshed.rollout;

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
    private static final int ANY_WORK = -1;

    /** Added to the bucket of runs that are judged by their tokens after the first. */
    private static final int PACED = 100;

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

    /** Judges a whole run. */
    Answer judge(RouteId route, LoadBand band, String generation, RunResult result) {
        return judge(kind(route, band, generation, result), result.pace());
    }

    /**
     * Judges a run that was ended from outside, by its time alone: it was slow when nine in ten
     * whole runs of the route take less time, whatever their work.
     */
    Answer judgeCut(RouteId route, LoadBand band, String generation, RunResult result) {
        return judge(new Kind(route, band, generation, ANY_WORK), (double) result.millis());
    }

    private Answer judge(Kind kind, double value) {
        Window window = windows.get(kind);
        if (window == null || !window.isReady()) {
            return Answer.UNKNOWN;
        }
        return value > window.threshold() ? Answer.SLOW : Answer.NORMAL;
    }

    /** Takes a whole run of the old version into the scale. */
    void learn(RouteId route, LoadBand band, String generation, RunResult result) {
        window(kind(route, band, generation, result)).add(result.pace());
        window(new Kind(route, band, generation, ANY_WORK)).add((double) result.millis());
    }

    private Window window(Kind kind) {
        return windows.computeIfAbsent(kind, key -> new Window());
    }

    private static Kind kind(RouteId route, LoadBand band, String generation, RunResult result) {
        int bucket = (int) (Math.log(result.work()) / BUCKET_BASE_LOG);
        return new Kind(route, band, generation, result.hasPace() ? PACED + bucket : bucket);
    }

    private record Kind(RouteId route, LoadBand band, String generation, int workBucket) {}

    /** The latest values of one kind. */
    private static final class Window {
        private static final int LENGTH = 128;
        private static final int READY = 32;
        private static final int REFRESH = 64;

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
            if (count % REFRESH == 0 || count == READY) {
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

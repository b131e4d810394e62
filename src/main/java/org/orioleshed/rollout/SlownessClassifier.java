package org.orioleshed.rollout;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;

/**
 * Classifies runs as slow or normal. A run is slow if it took longer for its work than 90% of the
 * old version's latest runs of the same class. A class is a route, load band, hardware generation
 * and amount of work, so that only similar runs are compared.
 */
final class SlownessClassifier {
    private static final double SLOW_QUANTILE = 0.9;
    private static final double BUCKET_BASE_LOG = Math.log(4);
    private static final int ANY_WORK = -1;

    /** Offset of the buckets of runs that are compared by their time per token after the first. */
    private static final int DECODE_BUCKET_OFFSET = 100;

    private final Map<RunClass, Window> windows = new HashMap<>();

    /** The result of a classification. */
    enum Speed {
        /** The run took longer than 90% of its class. */
        SLOW,
        /** The run was not slow. */
        NORMAL,
        /** The class has too few runs. */
        UNKNOWN
    }

    /** Classifies a complete run. */
    Speed classify(RouteId route, LoadBand band, String generation, RunResult result) {
        return classify(runClass(route, band, generation, result), result.millisPerToken());
    }

    /**
     * Classifies an interrupted run by its total time alone: it is slow if 90% of the complete runs
     * in the same route, load band and generation took less time, whatever their work.
     */
    Speed classifyInterrupted(RouteId route, LoadBand band, String generation, RunResult result) {
        return classify(new RunClass(route, band, generation, ANY_WORK), (double) result.millis());
    }

    private Speed classify(RunClass runClass, double value) {
        Window window = windows.get(runClass);
        if (window == null || !window.isReady()) {
            return Speed.UNKNOWN;
        }
        return value > window.threshold() ? Speed.SLOW : Speed.NORMAL;
    }

    /** Adds a complete run of the old version to the baseline. */
    void addBaseline(RouteId route, LoadBand band, String generation, RunResult result) {
        window(runClass(route, band, generation, result)).add(result.millisPerToken());
        window(new RunClass(route, band, generation, ANY_WORK)).add((double) result.millis());
    }

    private Window window(RunClass runClass) {
        return windows.computeIfAbsent(runClass, key -> new Window());
    }

    private static RunClass runClass(
            RouteId route, LoadBand band, String generation, RunResult result) {
        int bucket = (int) (Math.log(result.workTokens()) / BUCKET_BASE_LOG);
        return new RunClass(
                route,
                band,
                generation,
                result.hasDecodeTime() ? DECODE_BUCKET_OFFSET + bucket : bucket);
    }

    private record RunClass(RouteId route, LoadBand band, String generation, int workBucket) {}

    /** The latest values of one class. */
    private static final class Window {
        private static final int CAPACITY = 128;
        private static final int MIN_VALUES = 32;
        private static final int REFRESH_INTERVAL = 64;

        private final double[] values = new double[CAPACITY];
        private int count;
        private double threshold;

        boolean isReady() {
            return count >= MIN_VALUES;
        }

        double threshold() {
            return threshold;
        }

        void add(double value) {
            values[count % CAPACITY] = value;
            count++;
            if (count % REFRESH_INTERVAL == 0 || count == MIN_VALUES) {
                refreshThreshold();
            }
        }

        private void refreshThreshold() {
            double[] sorted = Arrays.copyOf(values, Math.min(count, CAPACITY));
            Arrays.sort(sorted);
            threshold = sorted[(int) (sorted.length * SLOW_QUANTILE)];
        }
    }
}

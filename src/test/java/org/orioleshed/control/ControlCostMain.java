package org.orioleshed.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.orioleshed.settings.LargeTree;

/**
 * Prints the cost of the control duty per host at several fleet sizes, with the slope, and the cost
 * of a large settings tree. The fleet runs on a stepped clock in one thread, so the CPU time
 * includes the test harness and all codecs, but no sockets.
 */
final class ControlCostMain {
    private static final int[] SIZES = {8, 45, 133, 400};
    private static final int IDLE_SECONDS = 30;
    private static final int FRAME_OVERHEAD_BYTES = 40;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ROUNDS = 30;
    private static final int WORKSPACES = 7_100;
    private static final int SERVERS = 1_000;

    private ControlCostMain() {}

    /** Runs all measurements. */
    public static void main(String[] args) {
        double[] cpuPercent = new double[SIZES.length];
        double[] bytes = new double[SIZES.length];
        Logger.getLogger("org.orioleshed").setLevel(Level.SEVERE);
        largeTree();
        measure(SIZES[1], 1, cpuPercent, bytes, false);
        for (int i = 0; i < SIZES.length; i++) {
            measure(SIZES[i], i, cpuPercent, bytes, true);
        }
        System.out.printf(
                "slope bytesPerSecond/host=%.3f cpuPercent/host=%.6f%n",
                slope(bytes), slope(cpuPercent));
    }

    private static void measure(
            int size, int index, double[] cpuPercent, double[] bytes, boolean print) {
        ControlFleet fleet = new ControlFleet(size, "{}", 1);
        fleet.runUntil(() -> fleet.allSee(size) && fleet.allHave(1), 30_000);
        fleet.runMillis(20_000);
        fleet.hosts.values().forEach(host -> host.bytesSent = 0);
        fleet.hosts.values().forEach(host -> host.messagesSent = 0);
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadCpuTime();
        fleet.runMillis(IDLE_SECONDS * 1_000L);
        double cpuSeconds = (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_SECOND;
        cpuPercent[index] = 100 * cpuSeconds / size / IDLE_SECONDS;
        bytes[index] =
                fleet.hosts.values().stream()
                                .mapToLong(
                                        host ->
                                                host.bytesSent
                                                        + FRAME_OVERHEAD_BYTES * host.messagesSent)
                                .average()
                                .orElse(0)
                        / IDLE_SECONDS;
        var answer = fleet.propose(0, "c1", Optional.empty());
        long inForceMillis = fleet.runUntil(() -> fleet.allHave(2), 10_000);
        if (print && answer.isDone()) {
            System.out.printf(
                    "hosts=%d bytesPerSecond=%.0f cpuPercent=%.4f changeInForceMillis=%d%n",
                    size, bytes[index], cpuPercent[index], inForceMillis);
        }
    }

    private static double slope(double[] values) {
        double meanSize = Arrays.stream(SIZES).average().orElse(0);
        double meanValue = Arrays.stream(values).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < SIZES.length; i++) {
            covariance += (SIZES[i] - meanSize) * (values[i] - meanValue);
            variance += (SIZES[i] - meanSize) * (SIZES[i] - meanSize);
        }
        return covariance / variance;
    }

    private static void largeTree() {
        String text = LargeTree.text(WORKSPACES, SERVERS);
        double[] resolveMillis = new double[ROUNDS];
        double[] changeMillis = new double[ROUNDS];
        long emptyBytes = usedBytes();
        Object[] kept = LargeTree.hostState(text);
        long keptBytes = usedBytes() - emptyBytes;
        for (int i = 0; i < ROUNDS; i++) {
            long start = System.nanoTime();
            LargeTree.resolve(text);
            resolveMillis[i] = (System.nanoTime() - start) / 1e6;
            start = System.nanoTime();
            kept = LargeTree.change(kept, i);
            changeMillis[i] = (System.nanoTime() - start) / 1e6;
        }
        System.out.printf(
                "workspaces=%d servers=%d textBytes=%d packedBytes=%d keptHeapBytes=%d%n",
                WORKSPACES, SERVERS, text.length(), LargeTree.packedBytes(text), keptBytes);
        System.out.printf(
                "resolveMillisMedian=%.1f applyChangeMillisMedian=%.1f%n",
                median(resolveMillis), median(changeMillis));
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

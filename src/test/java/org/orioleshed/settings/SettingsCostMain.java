package org.orioleshed.settings;

import java.util.Arrays;

/**
 * Prints what one change of the settings costs a host at several sizes of the tree, resolved whole
 * and resolved by what changed, with the slope for each workspace.
 */
final class SettingsCostMain {
    private static final int[] WORKSPACES = {100, 1_800, 3_550, 7_100};
    private static final int SERVERS = 1_000;
    private static final int WARM_UP_ROUNDS = 40;
    private static final int ROUNDS = 41;
    private static final String ITEM = "/workspaces/branches/branch-1/items/workspace-1/weight";
    private static final String BRANCH = "/workspaces/branches/branch-1/defaults/weight";
    private static final String ALL = "/workspaces/defaults/maxWaiting";

    private SettingsCostMain() {}

    /** Runs all measurements. */
    public static void main(String[] args) {
        double[][] medians = new double[WORKSPACES.length][];
        measure(WORKSPACES[WORKSPACES.length - 1], WARM_UP_ROUNDS);
        for (int i = 0; i < WORKSPACES.length; i++) {
            medians[i] = measure(WORKSPACES[i], ROUNDS);
            System.out.printf(
                    "workspaces=%d whole=%.2f item=%.3f itemReadAnew=%.3f branch=%.3f all=%.2f"
                            + " applyWhole=%.2f apply=%.2f (ms, medians of %d)%n",
                    WORKSPACES[i],
                    medians[i][0],
                    medians[i][1],
                    medians[i][2],
                    medians[i][3],
                    medians[i][4],
                    medians[i][5],
                    medians[i][6],
                    ROUNDS);
        }
        double[] first = medians[0];
        double[] last = medians[medians.length - 1];
        double more = WORKSPACES[WORKSPACES.length - 1] - WORKSPACES[0];
        System.out.printf(
                "slope, microseconds a workspace: whole=%.3f item=%.4f itemReadAnew=%.4f"
                        + " branch=%.4f all=%.3f applyWhole=%.3f apply=%.3f%n",
                1_000 * (last[0] - first[0]) / more,
                1_000 * (last[1] - first[1]) / more,
                1_000 * (last[2] - first[2]) / more,
                1_000 * (last[3] - first[3]) / more,
                1_000 * (last[4] - first[4]) / more,
                1_000 * (last[5] - first[5]) / more,
                1_000 * (last[6] - first[6]) / more);
    }

    private static double[] measure(int workspaces, int rounds) {
        double[][] millis = new double[7][rounds];
        Object[] kept = LargeTree.kept(LargeTree.text(workspaces, SERVERS));
        Object[] keptWhole = kept;
        Object[] keptChanged = kept;
        for (int i = 0; i < rounds; i++) {
            String value = Integer.toString(i + 100);
            millis[0][i] = resolve(kept, ITEM, value, LargeTree.How.WHOLE);
            millis[1][i] = resolve(kept, ITEM, value, LargeTree.How.SHARED);
            millis[2][i] = resolve(kept, ITEM, value, LargeTree.How.READ_ANEW);
            millis[3][i] = resolve(kept, BRANCH, value, LargeTree.How.SHARED);
            millis[4][i] = resolve(kept, ALL, value, LargeTree.How.SHARED);
            long start = System.nanoTime();
            keptWhole = LargeTree.changeAndResolveWhole(keptWhole, i);
            long middle = System.nanoTime();
            keptChanged = LargeTree.change(keptChanged, i);
            millis[5][i] = (middle - start) / 1e6;
            millis[6][i] = (System.nanoTime() - middle) / 1e6;
        }
        return Arrays.stream(millis).mapToDouble(SettingsCostMain::median).toArray();
    }

    private static double resolve(Object[] kept, String path, String json, LargeTree.How how) {
        return LargeTree.resolveNanos(kept, path, json, how) / 1e6;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}

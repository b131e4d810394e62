package org.orioleshed.settings;

import java.util.Arrays;

/**
 * Prints the time that a host needs for one settings change at several tree sizes, resolved
 * completely and incrementally, and the added time per workspace.
 */
final class SettingsCostMain {
    private static final int[] WORKSPACE_COUNTS = {100, 1_800, 3_550, 7_100};
    private static final int SERVER_COUNT = 1_000;
    private static final int WARM_UP_ROUNDS = 40;
    private static final int ROUNDS = 41;
    private static final String ITEM_SETTING =
            "/workspaces/branches/branch-1/items/workspace-1/weight";
    private static final String BRANCH_SETTING = "/workspaces/branches/branch-1/defaults/weight";
    private static final String ROOT_SETTING = "/workspaces/defaults/maxWaiting";

    private SettingsCostMain() {}

    /** Runs all measurements. */
    public static void main(String[] args) {
        double[][] medians = new double[WORKSPACE_COUNTS.length][];
        measure(WORKSPACE_COUNTS[WORKSPACE_COUNTS.length - 1], WARM_UP_ROUNDS);
        for (int i = 0; i < WORKSPACE_COUNTS.length; i++) {
            medians[i] = measure(WORKSPACE_COUNTS[i], ROUNDS);
            System.out.printf(
                    "workspaces=%d complete=%.2f item=%.3f itemParsedAgain=%.3f branch=%.3f"
                            + " root=%.2f applyComplete=%.2f apply=%.2f (ms, medians of %d)%n",
                    WORKSPACE_COUNTS[i],
                    medians[i][0],
                    medians[i][1],
                    medians[i][2],
                    medians[i][3],
                    medians[i][4],
                    medians[i][5],
                    medians[i][6],
                    ROUNDS);
        }
        double[] smallest = medians[0];
        double[] largest = medians[medians.length - 1];
        double addedWorkspaces =
                WORKSPACE_COUNTS[WORKSPACE_COUNTS.length - 1] - WORKSPACE_COUNTS[0];
        System.out.printf(
                "slope, microseconds per workspace: complete=%.3f item=%.4f itemParsedAgain=%.4f"
                        + " branch=%.4f root=%.3f applyComplete=%.3f apply=%.3f%n",
                1_000 * (largest[0] - smallest[0]) / addedWorkspaces,
                1_000 * (largest[1] - smallest[1]) / addedWorkspaces,
                1_000 * (largest[2] - smallest[2]) / addedWorkspaces,
                1_000 * (largest[3] - smallest[3]) / addedWorkspaces,
                1_000 * (largest[4] - smallest[4]) / addedWorkspaces,
                1_000 * (largest[5] - smallest[5]) / addedWorkspaces,
                1_000 * (largest[6] - smallest[6]) / addedWorkspaces);
    }

    private static double[] measure(int workspaces, int rounds) {
        double[][] millis = new double[7][rounds];
        Object[] state = LargeTree.hostState(LargeTree.text(workspaces, SERVER_COUNT));
        Object[] completeState = state;
        Object[] incrementalState = state;
        for (int i = 0; i < rounds; i++) {
            String value = Integer.toString(i + 100);
            millis[0][i] = resolve(state, ITEM_SETTING, value, LargeTree.Mode.COMPLETE);
            millis[1][i] = resolve(state, ITEM_SETTING, value, LargeTree.Mode.SHARED);
            millis[2][i] = resolve(state, ITEM_SETTING, value, LargeTree.Mode.PARSED_AGAIN);
            millis[3][i] = resolve(state, BRANCH_SETTING, value, LargeTree.Mode.SHARED);
            millis[4][i] = resolve(state, ROOT_SETTING, value, LargeTree.Mode.SHARED);
            long start = System.nanoTime();
            completeState = LargeTree.changeAndResolveCompletely(completeState, i);
            long middle = System.nanoTime();
            incrementalState = LargeTree.change(incrementalState, i);
            millis[5][i] = (middle - start) / 1e6;
            millis[6][i] = (System.nanoTime() - middle) / 1e6;
        }
        return Arrays.stream(millis).mapToDouble(SettingsCostMain::median).toArray();
    }

    private static double resolve(Object[] state, String path, String json, LargeTree.Mode mode) {
        return LargeTree.resolveNanos(state, path, json, mode) / 1e6;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}

package org.orioleshed.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** A tree of many workspaces and servers, for measurements. */
public final class LargeTree {
    private static final int BRANCHES = 20;

    private LargeTree() {}

    /** Returns a tree with so many workspaces and backend servers. */
    public static String text(int workspaces, int servers) {
        StringBuilder text = new StringBuilder();
        text.append("{\"routes\":{\"letters\":{\"model\":\"letters\"}},");
        text.append("\"servers\":{\"defaults\":{\"model\":\"letters\",\"version\":\"v1\"},");
        text.append("\"items\":{");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("\"server-" + i + "\":{\"domain\":\"domain-" + i % 4 + "\",")
                    .append("\"address\":\"http://127.0.0.1:" + (1_000 + i) + "\"}");
        }
        text.append("}},\"workspaces\":{\"defaults\":{\"maxWaiting\":50,");
        text.append("\"tiers\":{\"urgent\":{\"deadlineMillis\":10000}}},\"branches\":{");
        for (int branch = 0; branch < BRANCHES; branch++) {
            text.append(branch == 0 ? "" : ",")
                    .append("\"branch-" + branch + "\":{\"defaults\":{\"weight\":" + (branch + 1))
                    .append(",\"patience\":{\"start\":\"20:00\",\"end\":\"06:00\",")
                    .append("\"zone\":\"Pacific/Fiji\"}},\"items\":{");
            appendItems(text, branch, workspaces);
            text.append("}}");
        }
        return text.append("}}}").toString();
    }

    private static void appendItems(StringBuilder text, int branch, int workspaces) {
        String separator = "";
        for (int i = branch; i < workspaces; i += BRANCHES) {
            String hash =
                    Hashing.sha256().hashString("key-" + i, StandardCharsets.UTF_8).toString();
            text.append(separator)
                    .append("\"workspace-" + i + "\":{\"keyHashes\":[\"" + hash + "\"]}");
            separator = ",";
        }
    }

    /** Returns the size of the tree as the store holds it, in bytes. */
    public static int packedBytes(String text) {
        return PackedText.pack(text).size();
    }

    /** Checks and resolves a tree. */
    public static SettingsTree resolve(String text) {
        return ((SettingsTree.Result.Loaded) SettingsTree.parse(text)).tree();
    }

    /** Returns what a host keeps of a tree once it is in force. */
    public static Object[] kept(String text) {
        SettingsDocument document = document(text);
        SettingsTree tree = ((SettingsTree.Result.Loaded) document.check()).tree();
        return new Object[] {SettingsInForce.of(document), tree};
    }

    /** Applies one change to a tree as a host does that gets it from a peer. */
    public static Object[] change(Object[] kept, int number) {
        return change(kept, number, false);
    }

    /** Applies one change to a tree, and resolves the tree whole. */
    public static Object[] changeAndResolveWhole(Object[] kept, int number) {
        return change(kept, number, true);
    }

    private static Object[] change(Object[] kept, int number, boolean whole) {
        SettingsInForce before = (SettingsInForce) kept[0];
        SettingsDocument document =
                ((SettingsDocument.Result.Read) SettingsDocument.decode(before.packed()))
                        .document();
        SettingsChange change =
                new SettingsChange(
                        document.number() + 1,
                        "change-" + number,
                        "litia",
                        "measurement",
                        0,
                        java.util.List.of(
                                SettingsEdit.set(
                                        "/workspaces/branches/branch-1/items/workspace-1/weight",
                                        Integer.toString(number + 1))));
        SettingsDocument next = ((SettingsDocument.Result.Read) document.with(change)).document();
        SettingsTree.Result result =
                whole ? next.check() : next.checkAfter(document, (SettingsTree) kept[1]);
        SettingsTree tree = ((SettingsTree.Result.Loaded) result).tree();
        return new Object[] {SettingsInForce.of(next), tree};
    }

    /**
     * Returns how long it takes to check and resolve a changed tree, in nanoseconds.
     *
     * @param path what is changed
     * @param json the value that it is changed to
     * @param how whether the changed tree is resolved whole, by what changed in a document that
     *     shares the rest, or by what changed in a document read anew
     */
    public static long resolveNanos(Object[] kept, String path, String json, How how) {
        SettingsDocument before = read(((SettingsInForce) kept[0]).packed());
        SettingsChange change =
                new SettingsChange(
                        before.number() + 1,
                        "change",
                        "litia",
                        "measurement",
                        0,
                        java.util.List.of(SettingsEdit.set(path, json)));
        SettingsDocument changed = ((SettingsDocument.Result.Read) before.with(change)).document();
        SettingsDocument after = how == How.READ_ANEW ? read(changed.encode()) : changed;
        long start = System.nanoTime();
        SettingsTree.Result result =
                how == How.WHOLE ? after.check() : after.checkAfter(before, (SettingsTree) kept[1]);
        long nanos = System.nanoTime() - start;
        if (!(result instanceof SettingsTree.Result.Loaded)) {
            throw new IllegalStateException("" + result);
        }
        return nanos;
    }

    /** How a changed tree is resolved. */
    public enum How {
        /** All of it. */
        WHOLE,
        /** What differs, most of the rest being the same objects. */
        SHARED,
        /** What differs, nothing being the same objects. */
        READ_ANEW
    }

    private static SettingsDocument read(org.orioleshed.model.Payload value) {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(value)).document();
    }

    private static SettingsDocument document(String text) {
        return ((SettingsDocument.Result.Read)
                        SettingsDocument.decode(org.orioleshed.model.Payload.of(text)))
                .document();
    }
}

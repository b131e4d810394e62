package org.orioleshed.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.orioleshed.model.Payload;

/** Generates large settings trees and applies changes to them, for measurements. */
public final class LargeTree {
    private static final int BRANCHES = 20;

    private LargeTree() {}

    /** Returns a tree with the given numbers of workspaces and backend servers. */
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

    /** Returns the compressed size of the tree, in bytes. */
    public static int packedBytes(String text) {
        return CompressedText.compress(text).size();
    }

    /** Parses, validates and resolves a tree. */
    public static SettingsTree resolve(String text) {
        return ((SettingsTree.Result.Loaded) SettingsTree.parse(text)).tree();
    }

    /**
     * Returns the state that a host retains for an active tree: its {@link ActiveSettings} and its
     * {@link SettingsTree}.
     */
    public static Object[] hostState(String text) {
        SettingsDocument document = document(text);
        SettingsTree tree = ((SettingsTree.Result.Loaded) document.check()).tree();
        return new Object[] {ActiveSettings.of(document), tree};
    }

    /** Applies one change like a host that receives it from a peer; returns the new state. */
    public static Object[] change(Object[] state, int number) {
        return change(state, number, false);
    }

    /** Applies one change and resolves the complete tree; returns the new state. */
    public static Object[] changeAndResolveCompletely(Object[] state, int number) {
        return change(state, number, true);
    }

    private static Object[] change(Object[] state, int number, boolean complete) {
        ActiveSettings before = (ActiveSettings) state[0];
        SettingsDocument document =
                ((SettingsDocument.Result.Read) SettingsDocument.decode(before.compressed()))
                        .document();
        SettingsChange change =
                new SettingsChange(
                        document.number() + 1,
                        "change-" + number,
                        "litia",
                        "measurement",
                        0,
                        List.of(
                                SettingsEdit.set(
                                        "/workspaces/branches/branch-1/items/workspace-1/weight",
                                        Integer.toString(number + 1))));
        SettingsDocument next = ((SettingsDocument.Result.Read) document.with(change)).document();
        SettingsTree.Result result =
                complete ? next.check() : next.checkAfter(document, (SettingsTree) state[1]);
        SettingsTree tree = ((SettingsTree.Result.Loaded) result).tree();
        return new Object[] {ActiveSettings.of(next), tree};
    }

    /**
     * Returns the time to validate and resolve a changed tree, in nanoseconds.
     *
     * @param state the state before the change
     * @param path the changed setting, as a JSON pointer
     * @param json the new value, as JSON
     * @param mode how the changed tree is resolved
     */
    public static long resolveNanos(Object[] state, String path, String json, Mode mode) {
        SettingsDocument before = decode(((ActiveSettings) state[0]).compressed());
        SettingsChange change =
                new SettingsChange(
                        before.number() + 1,
                        "change",
                        "litia",
                        "measurement",
                        0,
                        List.of(SettingsEdit.set(path, json)));
        SettingsDocument changed = ((SettingsDocument.Result.Read) before.with(change)).document();
        SettingsDocument after = mode == Mode.PARSED_AGAIN ? decode(changed.encode()) : changed;
        long start = System.nanoTime();
        SettingsTree.Result result =
                mode == Mode.COMPLETE
                        ? after.check()
                        : after.checkAfter(before, (SettingsTree) state[1]);
        long nanos = System.nanoTime() - start;
        if (!(result instanceof SettingsTree.Result.Loaded)) {
            throw new IllegalStateException("changed tree is invalid: " + result);
        }
        return nanos;
    }

    /** The ways to resolve a changed tree. */
    public enum Mode {
        /** Completely. */
        COMPLETE,
        /** Incrementally; the unchanged parts of the document are mostly the same objects. */
        SHARED,
        /** Incrementally; the document was parsed again and shares no objects. */
        PARSED_AGAIN
    }

    private static SettingsDocument decode(Payload value) {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(value)).document();
    }

    private static SettingsDocument document(String text) {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(Payload.of(text)))
                .document();
    }
}

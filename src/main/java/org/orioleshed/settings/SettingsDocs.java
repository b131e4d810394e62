package org.orioleshed.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.ListOf;
import org.orioleshed.settings.FieldType.MapOf;
import org.orioleshed.settings.FieldType.TreeOf;

/** Generates the settings reference, and the admin tool's help on settings, from the schema. */
public final class SettingsDocs {
    private final StringBuilder page = new StringBuilder();

    private SettingsDocs() {}

    /**
     * Writes the settings reference to a file.
     *
     * @param args the path of the file
     * @throws IOException if the file cannot be written
     */
    public static void main(String[] args) throws IOException {
        Files.writeString(Path.of(args[0]), page());
    }

    /** Returns the reference of all settings, as Markdown. */
    public static String page() {
        SettingsDocs docs = new SettingsDocs();
        docs.page
                .append("# Settings\n\nGenerated from the schema in the code; do not edit.\n\n")
                .append("Settings are JSON with comments. Paths are JSON pointers, with `*` for")
                .append(" a key or list index. A setting without a default is optional unless")
                .append(" marked required.\n");
        docs.appendSection("The entry host's own file", Schema.ENTRY);
        docs.appendSection("The fleet's tree", Schema.TREE);
        docs.page
                .append("\nBackend servers and workspaces are trees: `defaults` apply to")
                .append(
                        " everything below them, `branches` nest, `items` are the servers or workspaces.")
                .append(" A branch sets only what differs from its parent, an item only what")
                .append(" differs from its branch. Objects are merged key by key, any other value")
                .append(" is replaced, and `null` removes an inherited value.\n");
        return docs.page.toString();
    }

    /** Returns the reference lines that contain {@code word}, one per setting. */
    public static String help(String word) {
        StringBuilder help = new StringBuilder();
        page().lines()
                .filter(line -> line.startsWith("| `") && line.contains(word))
                .map(line -> line.substring(1, line.length() - 1).strip())
                .forEach(line -> help.append(line).append('\n'));
        return help.toString();
    }

    private void appendSection(String title, Group group) {
        page.append("\n## ").append(title).append("\n\n");
        page.append("| Path | Allowed | Default | Meaning |\n|---|---|---|---|\n");
        appendFields(group, "");
    }

    private void appendFields(Group group, String path) {
        for (Field field : group.fields()) {
            String fieldPath = path + "/" + field.name();
            String defaultText =
                    field.presence() == Field.Presence.REQUIRED
                            ? "required"
                            : field.defaultValue().map(value -> "`" + value + "`").orElse("none");
            page.append("| `")
                    .append(fieldPath)
                    .append("` | ")
                    .append(summary(field.type()))
                    .append(" | ")
                    .append(defaultText)
                    .append(" | ")
                    .append(field.description())
                    .append(" |\n");
            appendNested(field.type(), fieldPath);
        }
    }

    private void appendNested(FieldType type, String path) {
        switch (type) {
            case Group group -> appendFields(group, path);
            case ListOf list -> appendNested(list.element(), path + "/*");
            case MapOf map -> appendNested(map.value(), path + "/*");
            case TreeOf tree -> appendFields(tree.item(), path + "/items/*");
            default -> {}
        }
    }

    private static String summary(FieldType type) {
        return switch (type) {
            case Group group -> "an object";
            case ListOf list when list.element() instanceof Group -> "a list of objects";
            default -> type.allowed();
        };
    }
}

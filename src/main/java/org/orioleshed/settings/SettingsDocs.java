package org.orioleshed.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.ListOf;
import org.orioleshed.settings.FieldType.MapOf;
import org.orioleshed.settings.FieldType.TreeOf;

/** Writes the page on settings, and the admin's help on one setting, from the schema. */
public final class SettingsDocs {
    private final StringBuilder page = new StringBuilder();

    private SettingsDocs() {}

    /**
     * Writes the page.
     *
     * @param args the file to write
     * @throws IOException when the file can't be written
     */
    public static void main(String[] args) throws IOException {
        Files.writeString(Path.of(args[0]), page());
    }

    /** Returns the page on all settings, as Markdown. */
    public static String page() {
        SettingsDocs docs = new SettingsDocs();
        docs.page
                .append("# Settings\n\nGenerated from the schema in the code; do not edit.\n\n")
                .append("Settings are JSON with comments. Paths are JSON pointers, with `*` for")
                .append(" a name or number of your choice. A value that names no default is")
                .append(" optional unless marked required.\n");
        docs.section("The entry host's own file", Schema.ENTRY);
        docs.section("The fleet's tree", Schema.TREE);
        docs.page
                .append("\nBackend servers and workspaces are trees: `defaults` hold for all")
                .append(" below, `branches` nest, `items` are the servers or workspaces. A branch")
                .append(" states only what differs from its parent; an item only what differs")
                .append(" from its branch. Objects are merged name by name, anything else is")
                .append(" replaced, and `null` takes an inherited value away.\n");
        return docs.page.toString();
    }

    /** Returns the lines of help on settings whose path holds {@code word}. */
    public static String help(String word) {
        StringBuilder help = new StringBuilder();
        page().lines()
                .filter(line -> line.startsWith("| `") && line.contains(word))
                .map(line -> line.substring(1, line.length() - 1).strip())
                .forEach(line -> help.append(line).append('\n'));
        return help.toString();
    }

    private void section(String title, Group group) {
        page.append("\n## ").append(title).append("\n\n");
        page.append("| Path | Allowed | Default | Meaning |\n|---|---|---|---|\n");
        fields(group, "");
    }

    private void fields(Group group, String path) {
        for (Field field : group.fields()) {
            String below = path + "/" + field.name();
            String fallback =
                    field.need() == Field.Need.REQUIRED
                            ? "required"
                            : field.fallback().map(value -> "`" + value + "`").orElse("none");
            page.append("| `")
                    .append(below)
                    .append("` | ")
                    .append(brief(field.type()))
                    .append(" | ")
                    .append(fallback)
                    .append(" | ")
                    .append(field.doc())
                    .append(" |\n");
            inside(field.type(), below);
        }
    }

    private void inside(FieldType type, String path) {
        switch (type) {
            case Group group -> fields(group, path);
            case ListOf list -> inside(list.element(), path + "/*");
            case MapOf map -> inside(map.value(), path + "/*");
            case TreeOf tree -> fields(tree.item(), path + "/items/*");
            default -> {}
        }
    }

    private static String brief(FieldType type) {
        return switch (type) {
            case Group group -> "an object";
            case ListOf list when list.element() instanceof Group -> "a list of objects";
            default -> type.allowed();
        };
    }
}

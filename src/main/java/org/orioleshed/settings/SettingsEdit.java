package org.orioleshed.settings;

import java.util.Optional;

/**
 * One edit of the tree.
 *
 * @param path what is edited, as a JSON pointer such as {@code /limits/moveSpreadMillis}
 * @param json the new value as JSON; empty to take the value away
 */
public record SettingsEdit(String path, Optional<String> json) {
    /** Checks the arguments. */
    public SettingsEdit {
        if (path == null || json == null) {
            throw new IllegalArgumentException("path and value must be given");
        }
    }

    /** Makes an edit that sets a value, given as JSON. */
    public static SettingsEdit set(String path, String json) {
        return new SettingsEdit(path, Optional.of(json));
    }

    /** Makes an edit that takes a value away. */
    public static SettingsEdit unset(String path) {
        return new SettingsEdit(path, Optional.empty());
    }
}

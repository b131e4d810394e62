package org.orioleshed.settings;

import java.util.Optional;

/**
 * An edit of one value in the settings tree.
 *
 * @param path the edited setting, as a JSON pointer such as {@code /limits/moveSpreadMillis}
 * @param json the new value as JSON; empty to remove the value
 */
public record SettingsEdit(String path, Optional<String> json) {
    /** Checks the arguments. */
    public SettingsEdit {
        if (path == null || json == null) {
            throw new IllegalArgumentException("path and json must not be null");
        }
    }

    /** Creates an edit that sets a value, given as JSON. */
    public static SettingsEdit set(String path, String json) {
        return new SettingsEdit(path, Optional.of(json));
    }

    /** Creates an edit that removes a value. */
    public static SettingsEdit unset(String path) {
        return new SettingsEdit(path, Optional.empty());
    }
}

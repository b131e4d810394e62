package org.orioleshed.settings;

import java.util.Optional;

/**
 * A validation error in settings.
 *
 * @param path the location, as a JSON pointer such as {@code /store/addresses/0}
 * @param value the value found, as JSON, truncated to 80 characters; empty when a value is missing
 * @param allowed a description of the allowed values, or of the error
 * @param nearest the known name closest to the one found, if any is similar
 */
public record Problem(String path, String value, String allowed, Optional<String> nearest) {
    private static final int MAX_VALUE_LENGTH = 80;

    /** Truncates a long value. */
    public Problem {
        if (value.length() > MAX_VALUE_LENGTH) {
            value = value.substring(0, MAX_VALUE_LENGTH) + "...";
        }
    }

    /** Creates a problem without a suggested name. */
    static Problem of(String path, Object value, String allowed) {
        return new Problem(path, String.valueOf(value), allowed, Optional.empty());
    }

    /** Creates a problem for a missing value. */
    static Problem missing(String path, String allowed) {
        return new Problem(path, "", "missing: " + allowed, Optional.empty());
    }

    /** Creates a problem for a name that is not in {@code known}. */
    static Problem unknownName(String path, String name, Iterable<String> known) {
        return new Problem(
                path, name, "one of " + String.join(", ", known), NearestName.of(name, known));
    }

    @Override
    public String toString() {
        String found = value.isEmpty() ? "" : " found " + value + ";";
        String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
        return (path.isEmpty() ? "/" : path) + ":" + found + " allowed: " + allowed + hint;
    }
}

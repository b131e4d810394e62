package org.orioleshed.settings;

import java.util.Optional;

/**
 * One thing that is wrong with settings.
 *
 * @param path where, as a JSON pointer such as {@code /store/addresses/0}
 * @param value the value found, as JSON, cut when long; empty when something is missing
 * @param allowed what is allowed there, or what is wrong
 * @param nearest the known name that is most like the one found, when there is one
 */
public record Problem(String path, String value, String allowed, Optional<String> nearest) {
    private static final int MAX_VALUE_LENGTH = 80;

    /** Cuts the value when it is long. */
    public Problem {
        if (value.length() > MAX_VALUE_LENGTH) {
            value = value.substring(0, MAX_VALUE_LENGTH) + "...";
        }
    }

    /** Makes a problem without a nearest name. */
    static Problem of(String path, Object value, String allowed) {
        return new Problem(path, String.valueOf(value), allowed, Optional.empty());
    }

    /** Makes a problem of something that is missing. */
    static Problem missing(String path, String allowed) {
        return new Problem(path, "", "missing: " + allowed, Optional.empty());
    }

    /** Makes a problem of a name that is not among {@code known}. */
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

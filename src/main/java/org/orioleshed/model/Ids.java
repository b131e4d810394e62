package org.orioleshed.model;

/** Checks that the value types for ids share. */
final class Ids {
    /** The longest id, in characters. */
    static final int MAX_LENGTH = 200;

    private Ids() {}

    /** Returns {@code value}, or throws when it is blank or longer than {@link #MAX_LENGTH}. */
    static String require(String value, String what) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(what + " must not be blank");
        }
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    what + " must not be longer than " + MAX_LENGTH + " characters");
        }
        return value;
    }
}

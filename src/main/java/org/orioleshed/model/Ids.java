package org.orioleshed.model;

/** Checks shared by the id types. */
final class Ids {
    /** The maximum length of an id, in characters. */
    static final int MAX_LENGTH = 200;

    private Ids() {}

    /**
     * Returns {@code value}.
     *
     * @throws IllegalArgumentException if it is blank or longer than {@link #MAX_LENGTH}
     */
    static String require(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    name + " must not be longer than " + MAX_LENGTH + " characters");
        }
        return value;
    }
}

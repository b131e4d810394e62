package org.orioleshed.model;

/**
 * The id of a backend server.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record ServerId(String value) implements Comparable<ServerId> {
    /** Checks the argument. */
    public ServerId {
        Ids.require(value, "server");
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

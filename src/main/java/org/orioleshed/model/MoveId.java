package org.orioleshed.model;

/**
 * Names a planned move between two versions.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record MoveId(String value) implements Comparable<MoveId> {
    /** Checks the argument. */
    public MoveId {
        Ids.require(value, "move");
    }

    @Override
    public int compareTo(MoveId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.orioleshed.model;

/**
 * The id of a rollout between two versions.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record RolloutId(String value) implements Comparable<RolloutId> {
    /** Checks the argument. */
    public RolloutId {
        Ids.require(value, "rollout");
    }

    @Override
    public int compareTo(RolloutId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

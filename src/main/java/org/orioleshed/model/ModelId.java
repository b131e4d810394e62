package org.orioleshed.model;

/**
 * The id of a model, independent of its version.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Checks the argument. */
    public ModelId {
        Ids.require(value, "model");
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

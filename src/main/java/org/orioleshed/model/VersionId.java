package org.orioleshed.model;

/**
 * The id of a version of a model or service.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record VersionId(String value) implements Comparable<VersionId> {
    /** Checks the argument. */
    public VersionId {
        Ids.require(value, "version");
    }

    @Override
    public int compareTo(VersionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

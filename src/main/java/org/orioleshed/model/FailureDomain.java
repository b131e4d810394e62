package org.orioleshed.model;

/**
 * The id of a failure domain.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Checks the argument. */
    public FailureDomain {
        Ids.require(value, "failure domain");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

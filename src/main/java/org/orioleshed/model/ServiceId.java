package org.orioleshed.model;

/**
 * The id of a plain service.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Checks the argument. */
    public ServiceId {
        Ids.require(value, "service");
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

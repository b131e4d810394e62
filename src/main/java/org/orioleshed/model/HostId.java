package org.orioleshed.model;

/**
 * The id of an entry host.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record HostId(String value) implements Comparable<HostId> {
    /** Checks the argument. */
    public HostId {
        Ids.require(value, "host");
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

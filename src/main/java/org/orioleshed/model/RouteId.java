package org.orioleshed.model;

/**
 * The id of a route: the model or service name that callers use.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record RouteId(String value) implements Comparable<RouteId> {
    /** Checks the argument. */
    public RouteId {
        Ids.require(value, "route");
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.orioleshed.model;

/**
 * The name of a region: one or more failure domains under the same rules for data.
 *
 * @param value the name, not blank, at most 200 characters
 */
public record Region(String value) {
    /** Checks the argument. */
    public Region {
        Ids.require(value, "region");
    }

    @Override
    public String toString() {
        return value;
    }
}

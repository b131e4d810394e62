package org.orioleshed.model;

/**
 * The id of a workspace.
 *
 * @param value the id, not blank, at most 200 characters
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Checks the argument. */
    public WorkspaceId {
        Ids.require(value, "workspace");
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.orioleshed.model;

/**
 * A priority class of requests. Tiers are ordered by rank; a lower rank is more urgent.
 *
 * @param name the name of the tier, not blank, at most 200 characters
 * @param rank the position in the order, zero for the most urgent
 */
public record Tier(String name, int rank) implements Comparable<Tier> {
    /** Work whose caller waits on an open connection. */
    public static final Tier URGENT = new Tier("urgent", 0);

    /** Work that is needed soon. */
    public static final Tier STANDARD = new Tier("standard", 1);

    /** Work that may wait for its daily window while its deadline can still be met. */
    public static final Tier PATIENT = new Tier("patient", 2);

    /** Checks the arguments. */
    public Tier {
        Ids.require(name, "tier");
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative, found " + rank);
        }
    }

    /** Returns whether work of this tier has priority over work of {@code other}. */
    public boolean outranks(Tier other) {
        return rank < other.rank;
    }

    @Override
    public int compareTo(Tier other) {
        return Integer.compare(rank, other.rank);
    }

    @Override
    public String toString() {
        return name;
    }
}

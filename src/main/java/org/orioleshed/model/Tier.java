package org.orioleshed.model;

/**
 * A class of urgency. Tiers are ordered by rank: the lower the rank, the more urgent.
 *
 * @param name the operators' name for the tier, not blank
 * @param rank the tier's place in the order, zero for the most urgent
 */
public record Tier(String name, int rank) implements Comparable<Tier> {
    /** Work whose caller waits on the open connection. */
    public static final Tier URGENT = new Tier("urgent", 0);

    /** Work that is wanted soon. */
    public static final Tier STANDARD = new Tier("standard", 1);

    /** Work that may wait for its daily window, as long as its deadline is met. */
    public static final Tier PATIENT = new Tier("patient", 2);

    /** Checks the arguments. */
    public Tier {
        Ids.require(name, "tier");
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative: " + rank);
        }
    }

    /** Returns whether work of this tier goes before work of {@code other}. */
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

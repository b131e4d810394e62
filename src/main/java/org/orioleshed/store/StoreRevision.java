package org.orioleshed.store;

import java.util.Comparator;

/**
 * A point in the history of the store. Numbers increase with each change within an era. A store
 * that comes back from an older copy begins a new era, in which it assigns some numbers again;
 * every revision of a later era is after every revision of an earlier one.
 *
 * @param era how often the store came back from a copy, as it states; 0 if it states none
 * @param number the store's revision counter; 0 before the first change, or for a missing key
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** The revision before all others, and that of a key that does not exist. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a component is negative
     */
    public StoreRevision {
        if (era < 0 || number < 0) {
            throw new IllegalArgumentException(
                    "era and number must not be negative, found era " + era + ", number " + number);
        }
    }

    /** Returns a revision of a store that states no eras. */
    public static StoreRevision of(long number) {
        return new StoreRevision(0, number);
    }

    /** Returns the later of two revisions. */
    public static StoreRevision max(StoreRevision one, StoreRevision other) {
        return one.isAfter(other) ? one : other;
    }

    /** Returns the earlier of two revisions. */
    public static StoreRevision min(StoreRevision one, StoreRevision other) {
        return one.isAfter(other) ? other : one;
    }

    /** Returns whether this revision is later than another one. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns whether the store came back from a copy between another revision and this one. */
    public boolean isOfLaterEraThan(StoreRevision other) {
        return era > other.era;
    }

    /** Returns whether this is the revision before all others of its era. */
    public boolean isNone() {
        return number == 0;
    }

    /** Returns the next revision of the same era. */
    public StoreRevision next() {
        return new StoreRevision(era, number + 1);
    }

    /** Returns the previous revision of the same era; this one if there is none. */
    public StoreRevision previous() {
        return new StoreRevision(era, Math.max(0, number - 1));
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /** Returns the text for log lines: the number, after the era and a colon if there is one. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(number) : era + ":" + number;
    }
}

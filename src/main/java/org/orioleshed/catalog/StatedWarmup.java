package org.orioleshed.catalog;

import org.orioleshed.store.StoreRevision;

/**
 * What a server's entry states of its warm-up.
 *
 * @param leftMillis how much longer the server is cold, in milliseconds; negative if not stated
 * @param revision the revision of the entry; equal times in two revisions are two statements
 */
public record StatedWarmup(long leftMillis, StoreRevision revision) {
    /** Nothing is stated. */
    public static final StatedWarmup NONE = new StatedWarmup(-1, StoreRevision.NONE);

    /** Returns whether the entry states a time. */
    public boolean isStated() {
        return leftMillis >= 0;
    }

    /** Returns this statement as part of an entry of {@code entryRevision}. */
    public StatedWarmup at(StoreRevision entryRevision) {
        return isStated() ? new StatedWarmup(leftMillis, entryRevision) : this;
    }
}

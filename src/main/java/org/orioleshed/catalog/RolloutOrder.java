package org.orioleshed.catalog;

import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.store.StoreRevision;

/**
 * An operator's order to roll out another version of a pool's servers.
 *
 * @param service the pool
 * @param target the version to roll out
 * @param durationMillis the time within which the rollout is completed or rolled back, in
 *     milliseconds; positive
 * @param revision the store's revision of the order
 */
public record RolloutOrder(
        ServiceId service, VersionId target, long durationMillis, StoreRevision revision) {
    /** Validates the arguments. */
    public RolloutOrder {
        if (durationMillis <= 0) {
            throw new IllegalArgumentException(
                    "durationMillis must be positive in the rollout order for "
                            + service
                            + ", found "
                            + durationMillis);
        }
    }

    /** Returns whether another order, perhaps of another revision, orders the same. */
    boolean isSameOrder(RolloutOrder other) {
        return service.equals(other.service)
                && target.equals(other.target)
                && durationMillis == other.durationMillis;
    }

    /** Returns the text for operators' log lines, whose name and format must not change. */
    @Override
    public String toString() {
        return "MoveOrder[service=%s, target=%s, durationMillis=%d, revision=%s]"
                .formatted(service, target, durationMillis, revision);
    }
}

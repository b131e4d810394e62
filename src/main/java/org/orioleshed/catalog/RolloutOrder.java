package org.orioleshed.catalog;

import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/**
 * An operator's order to move a pool's calls to servers of another version.
 *
 * @param service the pool
 * @param target the version to move to
 * @param durationMillis the time within which the rollout is done or taken back, in milliseconds;
 *     positive
 * @param revision the store's revision of the order
 */
public record RolloutOrder(
        ServiceId service, VersionId target, long durationMillis, long revision) {
    /** Checks the arguments. */
    public RolloutOrder {
        if (durationMillis <= 0) {
            throw new IllegalArgumentException("a move needs time: " + service);
        }
    }

    /** Keeps the name and format that operators' log lines have for an order. */
    @Override
    public String toString() {
        return "MoveOrder[service=%s, target=%s, durationMillis=%d, revision=%d]"
                .formatted(service, target, durationMillis, revision);
    }
}

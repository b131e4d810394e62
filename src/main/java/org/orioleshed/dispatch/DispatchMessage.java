package org.orioleshed.dispatch;

import java.util.Set;
import org.orioleshed.model.ServiceId;

/** A message between a host and the primary of the pools. */
public sealed interface DispatchMessage {
    /**
     * An event of a run of the sender, a report to the primary, or the handover from the previous
     * primary.
     *
     * @param event one of {@link DispatchEvent.PlacementRequested}, {@link
     *     DispatchEvent.Withdrawn}, {@link DispatchEvent.Placed}, {@link DispatchEvent.First},
     *     {@link DispatchEvent.Ended}, {@link DispatchEvent.QuotasHandedOver}, {@link
     *     DispatchEvent.ServerLeaving}, {@link DispatchEvent.ServerLimited}, {@link
     *     DispatchEvent.ServerBrittle}, {@link DispatchEvent.CrashesReported}, {@link
     *     DispatchEvent.RolloutReported}, {@link DispatchEvent.Survived}, {@link
     *     DispatchEvent.ReleaseOrdered}
     */
    record ToPrimary(DispatchEvent event) implements DispatchMessage {}

    /** The sender follows the receiver as the primary and lends it its share of all quotas. */
    record Follow() implements DispatchMessage {}

    /**
     * The sender can't reach the servers of some pools and must get no forwarded requests of them.
     *
     * @param pools the pools; empty if the sender reaches all again
     */
    record PoolsUnreachable(Set<ServiceId> pools) implements DispatchMessage {
        /** Copies the set. */
        public PoolsUnreachable {
            pools = Set.copyOf(pools);
        }
    }

    /** The sender started as the primary and requests the reports of its followers. */
    record PrimaryStarted() implements DispatchMessage {}

    /** What the primary quarantined or released. */
    record Quarantine(DispatchEvent.QuarantineAnnounced announced) implements DispatchMessage {}

    /** The primary's decision on a run of the receiver. */
    record FromPrimary(DispatchAction.Decision decision) implements DispatchMessage {}
}

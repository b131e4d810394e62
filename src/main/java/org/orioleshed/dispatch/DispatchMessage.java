package org.orioleshed.dispatch;

/** What hosts and the primary of a pool say to each other. */
public sealed interface DispatchMessage {
    /**
     * Something happened to a run of the sender, or to its being the primary.
     *
     * @param event one of {@link DispatchEvent.PlacementRequested}, {@link
     *     DispatchEvent.Withdrawn}, {@link DispatchEvent.Placed}, {@link DispatchEvent.First},
     *     {@link DispatchEvent.Ended}, {@link DispatchEvent.QuotasHanded}, {@link
     *     DispatchEvent.ServerLeaving}, {@link DispatchEvent.ServerLimited}, {@link
     *     DispatchEvent.CrashesReported}, {@link DispatchEvent.RolloutReported}
     */
    record ToPrimary(DispatchEvent event) implements DispatchMessage {}

    /** The sender looks to the receiver as the primary, and lends it its part of all quotas. */
    record Follow() implements DispatchMessage {}

    /** The sender begins as the primary, and wants to know what those who look to it know. */
    record PrimaryStarted() implements DispatchMessage {}

    /** The primary's answer about a run of the receiver. */
    record FromPrimary(DispatchAction action) implements DispatchMessage {}
}

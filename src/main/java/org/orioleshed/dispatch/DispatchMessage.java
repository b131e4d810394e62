package org.orioleshed.dispatch;

/** What hosts and the home of a pool say to each other. */
public sealed interface DispatchMessage {
    /**
     * Something happened to a run of the sender, or to its being the home.
     *
     * @param event one of {@link DispatchEvent.Asked}, {@link DispatchEvent.Withdrawn}, {@link
     *     DispatchEvent.Placed}, {@link DispatchEvent.First}, {@link DispatchEvent.Ended}, {@link
     *     DispatchEvent.QuotasHanded}, {@link DispatchEvent.ServerLeaving}, {@link
     *     DispatchEvent.ServerLimited}, {@link DispatchEvent.CrashesRecalled}, {@link
     *     DispatchEvent.MoveRecalled}
     */
    record ToHome(DispatchEvent event) implements DispatchMessage {}

    /** The sender looks to the receiver as the home, and lends it its part of all quotas. */
    record Follows() implements DispatchMessage {}

    /** The sender begins as the home, and wants to know what those who look to it know. */
    record Begins() implements DispatchMessage {}

    /** The home's answer about a run of the receiver. */
    record FromHome(DispatchAction action) implements DispatchMessage {}
}

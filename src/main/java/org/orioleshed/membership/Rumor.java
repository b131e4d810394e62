package org.orioleshed.membership;

/** A change that hosts propagate by gossip. */
public sealed interface Rumor {
    /** The record of an entry host. */
    record OfHost(Member member) implements Rumor {}

    /** An entry of the platform's lists. */
    record OfMark(PlatformMark mark) implements Rumor {}
}

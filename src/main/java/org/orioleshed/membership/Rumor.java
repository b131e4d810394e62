package org.orioleshed.membership;

/** A piece of news that hosts hand on. */
public sealed interface Rumor {
    /** News of an entry host. */
    record OfHost(Member member) implements Rumor {}

    /** News of the platform's lists. */
    record OfMark(PlatformMark mark) implements Rumor {}
}

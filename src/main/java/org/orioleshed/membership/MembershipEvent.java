package org.orioleshed.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.model.HostId;

/** What can happen to a host's view of the fleet. */
public sealed interface MembershipEvent {
    /** Time passed; comes at least every 100 ms. */
    record Tick() implements MembershipEvent {}

    /** A message from another host. */
    record Received(HostId from, MembershipMessage message) implements MembershipEvent {}

    /** Hosts that may be asked for the fleet; replaces what was said before. */
    record Seeded(List<Seed> seeds) implements MembershipEvent {
        /** Copies the list. */
        public Seeded {
            seeds = List.copyOf(seeds);
        }
    }

    /** A host that may be asked for the fleet. */
    record Seed(HostId id, InetSocketAddress address) {}

    /** A list of the platform says something of a host or server. */
    record Marked(PlatformMark mark) implements MembershipEvent {}

    /** This host is about to stop. */
    record LeaveAsked() implements MembershipEvent {}
}

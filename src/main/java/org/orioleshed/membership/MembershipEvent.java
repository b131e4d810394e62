package org.orioleshed.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.model.HostId;

/** Input events of the membership state machine. */
public sealed interface MembershipEvent {
    /** A timer tick; must come at least every 100 ms. */
    record Tick() implements MembershipEvent {}

    /** A message from another host. */
    record Received(HostId from, MembershipMessage message) implements MembershipEvent {}

    /** The seed hosts to contact for the membership view; replaces the previous list. */
    record Seeded(List<Seed> seeds) implements MembershipEvent {
        /** Copies the list. */
        public Seeded {
            seeds = List.copyOf(seeds);
        }
    }

    /** A seed host and the address where it accepts peer connections. */
    record Seed(HostId id, InetSocketAddress address) {}

    /** An entry of the platform's host or server list. */
    record Marked(PlatformMark mark) implements MembershipEvent {}

    /** This host is about to stop and must be marked as leaving. */
    record LeaveRequested() implements MembershipEvent {}
}

package org.orioleshed.membership;

import java.net.InetSocketAddress;
import org.orioleshed.model.HostId;

/** Actions that the membership state machine requests. */
public sealed interface MembershipAction {
    /** Send a message. */
    record Send(HostId to, MembershipMessage message) implements MembershipAction {}

    /** Set the address where a host accepts peer connections. */
    record Locate(HostId host, InetSocketAddress address) implements MembershipAction {}

    /** A host was declared dead; repeated when its record changes while it is dead. */
    record Died(HostId host) implements MembershipAction {}

    /** Host records or platform marks changed. */
    record ViewChanged() implements MembershipAction {}
}

package org.orioleshed.membership;

import java.net.InetSocketAddress;
import org.orioleshed.model.HostId;

/** What membership wants done. */
public sealed interface MembershipAction {
    /** Send a message. */
    record Send(HostId to, MembershipMessage message) implements MembershipAction {}

    /** Where a host takes peer connections. */
    record Locate(HostId host, InetSocketAddress address) implements MembershipAction {}

    /** A host was declared dead, or forgot it was. */
    record Died(HostId host) implements MembershipAction {}

    /** Hosts or marks of servers changed. */
    record ViewChanged() implements MembershipAction {}
}

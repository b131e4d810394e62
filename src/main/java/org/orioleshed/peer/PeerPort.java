package org.orioleshed.peer;

import java.net.InetSocketAddress;
import org.orioleshed.model.HostId;

/**
 * Sends messages to other entry hosts. Messages may be lost, repeated or reordered; sending never
 * blocks.
 */
public interface PeerPort {
    /** States where a host takes peer connections. A later word replaces an earlier one. */
    void know(HostId host, InetSocketAddress address);

    /**
     * Sends a message.
     *
     * @return false when the message was dropped at once: host unknown, link down or link's queue
     *     full
     */
    boolean send(HostId to, MessageKind kind, byte[] body);
}

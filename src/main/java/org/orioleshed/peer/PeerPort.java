package org.orioleshed.peer;

import java.net.InetSocketAddress;
import org.orioleshed.model.HostId;

/**
 * Sends messages to other entry hosts. Messages may be lost, repeated or reordered; sending never
 * blocks.
 */
public interface PeerPort {
    /** Sets the address where a host accepts peer connections; replaces an earlier address. */
    void setAddress(HostId host, InetSocketAddress address);

    /**
     * Sends a message.
     *
     * @return false if the message was dropped at once: the host is unknown, the link is down, the
     *     link's window is full or the message is too large
     */
    boolean send(HostId to, MessageKind kind, byte[] body);
}

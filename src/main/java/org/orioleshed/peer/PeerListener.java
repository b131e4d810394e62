package org.orioleshed.peer;

import org.orioleshed.model.HostId;

/** Hears messages of peers. Called on the network's threads; must not block. */
@FunctionalInterface
public interface PeerListener {
    /** Takes one message, at most once and in the order sent within a lane. */
    void received(HostId from, MessageKind kind, byte[] body);
}

package org.orioleshed.peer;

import org.orioleshed.model.HostId;

/** Receives messages from peers. Called on event loop threads; must not block. */
@FunctionalInterface
public interface PeerListener {
    /** Handles a message; called at most once per message and in sending order within a lane. */
    void received(HostId from, MessageKind kind, byte[] body);
}

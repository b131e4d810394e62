package org.orioleshed.entry;

import org.orioleshed.model.HostId;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.routing.RoutingMessage;

/** Sends the decisions' messages to peers. */
interface PeerMessages {
    /** Sends a message about offers and runs; may be lost. */
    void send(HostId to, RoutingMessage message);

    /** Sends a message about keys, request statuses and poison; may be lost. */
    void send(HostId to, RequestMessage message);
}

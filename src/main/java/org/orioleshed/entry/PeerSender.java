package org.orioleshed.entry;

import org.orioleshed.model.HostId;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.routing.RoutingMessage;

/** Sends messages of the event loop to peers, without delivery guarantee. */
interface PeerSender {
    /** Sends a message about offers and runs; it may be lost. */
    void send(HostId to, RoutingMessage message);

    /** Sends a message about keys, request statuses and poison; it may be lost. */
    void send(HostId to, RequestMessage message);
}

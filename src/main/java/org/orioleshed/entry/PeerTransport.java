package org.orioleshed.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.request.RequestCodec;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.routing.RoutingCodec;
import org.orioleshed.routing.RoutingMessage;

/** Encodes, sends and decodes the routing and request messages between hosts. */
final class PeerTransport implements PeerSender {
    private final RoutingCodec routing = new RoutingCodec();
    private final RequestCodec requests = new RequestCodec();
    private final MetricRegistry metrics;
    private PeerPort port;

    PeerTransport(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Sets the port to send through. Must be called once, before the event loop starts. */
    void connect(PeerPort newPort) {
        port = newPort;
    }

    @Override
    public void send(HostId to, RoutingMessage message) {
        port.send(to, MessageKind.ROUTING, routing.encode(message));
    }

    @Override
    public void send(HostId to, RequestMessage message) {
        port.send(to, MessageKind.REQUEST, requests.encode(message));
    }

    /**
     * Decodes a message to an event. Returns empty for message kinds that the event loop does not
     * handle, and for malformed messages, which are counted.
     */
    Optional<HostEvent> decode(HostId from, MessageKind kind, byte[] body) {
        try {
            return switch (kind) {
                case ROUTING ->
                        Optional.of(new HostEvent.RoutingReceived(from, routing.decode(body)));
                case REQUEST ->
                        Optional.of(new HostEvent.RequestReceived(from, requests.decode(body)));
                case MEMBERSHIP, SETTINGS, MOVE, DISPATCH, CATALOG -> Optional.empty();
            };
        } catch (BadMessageException e) {
            metrics.counter("peers.bad").inc();
            return Optional.empty();
        }
    }
}

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

/** Turns the decisions' messages into bytes for peers, and back. */
final class PeerMail implements PeerMessages {
    private final RoutingCodec routing = new RoutingCodec();
    private final RequestCodec requests = new RequestCodec();
    private final MetricRegistry metrics;
    private PeerPort port;

    PeerMail(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Takes the port to send through. To be called once, before the decisions run. */
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
     * Returns the event for a message of the decisions; empty for other kinds and for bytes that
     * are no message.
     */
    Optional<HostEvent> open(HostId from, MessageKind kind, byte[] body) {
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

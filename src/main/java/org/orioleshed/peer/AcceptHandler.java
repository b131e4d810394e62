package org.orioleshed.peer;

import io.netty.channel.Channel;
import org.orioleshed.model.HostId;
import org.orioleshed.wire.PeerWire.Frame;
import org.orioleshed.wire.PeerWire.Hello;

/** The accepting side of one connection: delivers new frames and acknowledges all frames. */
final class AcceptHandler extends FrameHandler {
    private final long incarnation;
    private final ReceiveWindows windows;
    private final PeerListener listener;
    private final int acknowledgeEveryFrames;
    private Hello hello;
    private HostId from;
    private ReceiveWindow window;
    private int unacknowledgedFrames;

    AcceptHandler(
            long incarnation,
            ReceiveWindows windows,
            PeerListener listener,
            int acknowledgeEveryFrames) {
        this.incarnation = incarnation;
        this.windows = windows;
        this.listener = listener;
        this.acknowledgeEveryFrames = acknowledgeEveryFrames;
    }

    @Override
    void onFrame(Channel channel, Frame frame) {
        switch (frame.getKind()) {
            case HELLO -> open(channel, frame.getHello());
            case ALIVE -> acknowledge(channel);
            default -> deliver(channel, frame);
        }
    }

    private void open(Channel channel, Hello received) {
        if (hello != null
                || received.getProtocol() != PeerLane.PROTOCOL
                || received.getHost().isBlank()) {
            channel.close();
            return;
        }
        hello = received;
        from = new HostId(received.getHost());
        window = windows.of(from, received.getLane());
        long lastSequence = window.open(received.getIncarnation());
        if (lastSequence == ReceiveWindow.STALE) {
            channel.close();
            return;
        }
        Hello reply =
                Hello.newBuilder()
                        .setProtocol(PeerLane.PROTOCOL)
                        .setIncarnation(incarnation)
                        .setReceived(lastSequence)
                        .build();
        write(channel, Frame.newBuilder().setKind(Frame.Kind.HELLO).setHello(reply).build());
    }

    private void deliver(Channel channel, Frame frame) {
        MessageKind kind = FrameKinds.fromWire(frame.getKind());
        if (window == null || kind == null) {
            channel.close();
            return;
        }
        if (window.accept(hello.getIncarnation(), frame.getSequence())) {
            listener.received(from, kind, frame.getBody().toByteArray());
        }
        unacknowledgedFrames++;
        if (unacknowledgedFrames >= acknowledgeEveryFrames) {
            acknowledge(channel);
        }
    }

    private void acknowledge(Channel channel) {
        if (window == null) {
            return;
        }
        unacknowledgedFrames = 0;
        long lastSequence = window.lastSequence();
        write(
                channel,
                Frame.newBuilder().setKind(Frame.Kind.ALIVE).setAcknowledged(lastSequence).build());
    }
}

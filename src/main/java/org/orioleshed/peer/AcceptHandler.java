package org.orioleshed.peer;

import io.netty.channel.Channel;
import org.orioleshed.model.HostId;
import org.orioleshed.wire.PeerWire.Frame;
import org.orioleshed.wire.PeerWire.Hello;

/** The answering side of one connection: passes new frames on and acknowledges all. */
final class AcceptHandler extends FrameHandler {
    private final long incarnation;
    private final ReceiveWindows windows;
    private final PeerListener listener;
    private final int acknowledgeEveryFrames;
    private Hello hello;
    private HostId from;
    private ReceiveWindow window;
    private int unacknowledged;

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

    private void open(Channel channel, Hello said) {
        if (hello != null || said.getProtocol() != PeerLane.PROTOCOL || said.getHost().isBlank()) {
            channel.close();
            return;
        }
        hello = said;
        from = new HostId(said.getHost());
        window = windows.of(from, said.getLane());
        long received = window.open(said.getIncarnation());
        if (received == ReceiveWindow.STALE) {
            channel.close();
            return;
        }
        Hello answer =
                Hello.newBuilder()
                        .setProtocol(PeerLane.PROTOCOL)
                        .setIncarnation(incarnation)
                        .setReceived(received)
                        .build();
        write(channel, Frame.newBuilder().setKind(Frame.Kind.HELLO).setHello(answer).build());
    }

    private void deliver(Channel channel, Frame frame) {
        MessageKind kind = FrameKinds.kind(frame.getKind());
        if (window == null || kind == null) {
            channel.close();
            return;
        }
        if (window.accept(hello.getIncarnation(), frame.getSequence())) {
            listener.received(from, kind, frame.getBody().toByteArray());
        }
        unacknowledged++;
        if (unacknowledged >= acknowledgeEveryFrames) {
            acknowledge(channel);
        }
    }

    private void acknowledge(Channel channel) {
        if (window == null) {
            return;
        }
        unacknowledged = 0;
        long received = window.lastSequence();
        write(
                channel,
                Frame.newBuilder().setKind(Frame.Kind.ALIVE).setAcknowledged(received).build());
    }
}

package org.orioleshed.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import org.orioleshed.wire.PeerWire.Frame;
import org.orioleshed.wire.PeerWire.Hello;

/**
 * One lane of a link to a peer: dials, repeats after a break what was not acknowledged, and
 * replaces a connection that went silent. All methods may be called from any thread.
 */
final class PeerLane {
    /** The version of the protocol between entry hosts. */
    static final int PROTOCOL = 1;

    private final Hello hello;
    private final PeerLimits limits;
    private final Bootstrap bootstrap;
    private final SendWindow window;
    private InetSocketAddress address;
    private Channel channel;
    private boolean dialling;
    private boolean open;
    private long lastHeardNanos;
    private long lastUsedNanos;

    /** When frames began to wait for their acknowledgement after none did. */
    private long waitingSinceNanos;

    private long downSinceNanos;
    private long nextDialNanos;

    /** The incarnation of the process that answered last; zero when none did. */
    private long receiver;

    /** The highest number written to that process. */
    private long writtenSequence;

    PeerLane(
            Hello hello,
            PeerLimits limits,
            Bootstrap bootstrap,
            InetSocketAddress address,
            long nowNanos) {
        this.hello = hello;
        this.limits = limits;
        this.bootstrap = bootstrap;
        this.address = address;
        this.window = new SendWindow(limits.maxPendingBytes());
        this.downSinceNanos = nowNanos;
        this.nextDialNanos = nowNanos;
    }

    /** Sends a message or keeps it for the connection under way; false when it is dropped. */
    synchronized boolean send(Frame.Kind kind, byte[] body, long nowNanos) {
        if (!open
                && !window.isEmpty()
                && millis(nowNanos - downSinceNanos) > limits.giveUpMillis()) {
            return false;
        }
        boolean first = window.isEmpty();
        Frame frame = window.add(kind, body);
        if (frame == null) {
            return false;
        }
        if (first) {
            waitingSinceNanos = nowNanos;
        }
        lastUsedNanos = nowNanos;
        if (open) {
            writtenSequence = frame.getSequence();
            FrameHandler.write(channel, frame);
        } else {
            dial(nowNanos);
        }
        return true;
    }

    /** Takes the peer's present address. */
    synchronized void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            drop(System.nanoTime());
        }
    }

    /**
     * Asks for what is not acknowledged, gives up a connection that stays silent to that, redials;
     * to be called at the alive interval. A connection on which nothing waits costs nothing.
     */
    synchronized void tick(long nowNanos) {
        if (open && isSilent(nowNanos)) {
            drop(nowNanos);
        }
        if (open && millis(nowNanos - lastUsedNanos) > limits.idleMillis()) {
            drop(nowNanos);
        }
        if (open) {
            askForAcknowledgement();
            return;
        }
        if (window.isEmpty()) {
            downSinceNanos = nowNanos;
            return;
        }
        if (millis(nowNanos - downSinceNanos) > limits.giveUpMillis()) {
            window.clear();
        }
        dial(nowNanos);
    }

    private boolean isSilent(long nowNanos) {
        long sinceNanos = nowNanos - Math.max(lastHeardNanos, waitingSinceNanos);
        return !window.isEmpty() && millis(sinceNanos) > limits.silenceMillis();
    }

    private void askForAcknowledgement() {
        if (!window.isEmpty()) {
            FrameHandler.write(channel, Frame.newBuilder().setKind(Frame.Kind.ALIVE).build());
        }
    }

    synchronized void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void dial(long nowNanos) {
        if (dialling || nowNanos < nextDialNanos) {
            return;
        }
        dialling = true;
        nextDialNanos = nowNanos + limits.redialMillis() * 1_000_000L;
        ChannelFuture connect =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socket) {
                                        FrameHandler.install(
                                                socket, limits.maxFrameBytes(), new DialHandler());
                                    }
                                })
                        .connect(address);
        connect.addListener(done -> connected(connect));
    }

    private synchronized void connected(ChannelFuture connect) {
        dialling = false;
        if (!connect.isSuccess()) {
            return;
        }
        if (channel != null) {
            channel.close();
        }
        channel = connect.channel();
        lastHeardNanos = System.nanoTime();
        FrameHandler.write(
                channel, Frame.newBuilder().setKind(Frame.Kind.HELLO).setHello(hello).build());
    }

    private synchronized void heard(Channel from, Frame frame) {
        if (from != channel) {
            return;
        }
        lastHeardNanos = System.nanoTime();
        if (frame.getKind() == Frame.Kind.HELLO) {
            window.acknowledge(frame.getHello().getReceived());
            meet(frame.getHello().getIncarnation());
            open = true;
            writtenSequence = window.lastSequence();
            window.unacknowledged().forEach(pending -> FrameHandler.write(channel, pending));
            return;
        }
        window.acknowledge(frame.getAcknowledged());
    }

    /** What was written to a process on runs and places means nothing to the one after it. */
    private void meet(long answering) {
        if (receiver != 0 && answering != receiver) {
            window.forget(writtenSequence, FrameKinds.wire(MessageKind.ROUTING));
        }
        receiver = answering;
    }

    private synchronized void closed(Channel which) {
        if (which != channel) {
            return;
        }
        long nowNanos = System.nanoTime();
        drop(nowNanos);
        if (!window.isEmpty()) {
            // The peer may be back already; what waits should not wait for the next tick.
            dial(nowNanos);
        }
    }

    private void drop(long nowNanos) {
        Channel old = channel;
        channel = null;
        if (open) {
            downSinceNanos = nowNanos;
        }
        open = false;
        if (old != null) {
            old.close();
        }
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }

    private final class DialHandler extends FrameHandler {
        @Override
        void onFrame(Channel from, Frame frame) {
            heard(from, frame);
        }

        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            closed(context.channel());
        }
    }
}

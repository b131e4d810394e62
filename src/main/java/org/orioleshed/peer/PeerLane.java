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
 * One lane of a link to a peer: connects, resends unacknowledged frames after a connection loss,
 * and replaces a silent connection. Thread-safe.
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
    private boolean connecting;
    private boolean open;
    private long lastReceivedNanos;
    private long lastUsedNanos;

    /** The time when a frame was sent while no other frame was unacknowledged. */
    private long unacknowledgedSinceNanos;

    private long downSinceNanos;
    private long nextConnectNanos;

    /** The incarnation of the process that replied last; zero before the first reply. */
    private long receiverIncarnation;

    /** The highest sequence number written to that process. */
    private long lastWrittenSequence;

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
        this.nextConnectNanos = nowNanos;
    }

    /** Sends a message, or queues it until connected; returns false if it is dropped. */
    synchronized boolean send(Frame.Kind kind, byte[] body, long nowNanos) {
        if (!open
                && !window.isEmpty()
                && millis(nowNanos - downSinceNanos) > limits.maxDownMillis()) {
            return false;
        }
        boolean first = window.isEmpty();
        Frame frame = window.add(kind, body);
        if (frame == null) {
            return false;
        }
        if (first) {
            unacknowledgedSinceNanos = nowNanos;
        }
        lastUsedNanos = nowNanos;
        if (open) {
            lastWrittenSequence = frame.getSequence();
            FrameHandler.write(channel, frame);
        } else {
            connect(nowNanos);
        }
        return true;
    }

    /** Sets the peer's address; a new address closes the connection to the old one. */
    synchronized void setAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            disconnect(System.nanoTime());
        }
    }

    /**
     * Requests outstanding acknowledgements, closes a silent or idle connection and reconnects.
     * Must be called at the acknowledgement request interval. Sends nothing if no frames are
     * pending.
     */
    synchronized void tick(long nowNanos) {
        if (open && isSilent(nowNanos)) {
            disconnect(nowNanos);
        }
        if (open && millis(nowNanos - lastUsedNanos) > limits.idleTimeoutMillis()) {
            disconnect(nowNanos);
        }
        if (open) {
            requestAcknowledgement();
            return;
        }
        if (window.isEmpty()) {
            downSinceNanos = nowNanos;
            return;
        }
        if (millis(nowNanos - downSinceNanos) > limits.maxDownMillis()) {
            window.clear();
        }
        connect(nowNanos);
    }

    private boolean isSilent(long nowNanos) {
        long sinceNanos = nowNanos - Math.max(lastReceivedNanos, unacknowledgedSinceNanos);
        return !window.isEmpty() && millis(sinceNanos) > limits.silenceTimeoutMillis();
    }

    private void requestAcknowledgement() {
        if (!window.isEmpty()) {
            FrameHandler.write(channel, Frame.newBuilder().setKind(Frame.Kind.ALIVE).build());
        }
    }

    synchronized void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void connect(long nowNanos) {
        if (connecting || nowNanos < nextConnectNanos) {
            return;
        }
        connecting = true;
        nextConnectNanos = nowNanos + limits.reconnectDelayMillis() * 1_000_000L;
        ChannelFuture future =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socket) {
                                        FrameHandler.install(
                                                socket,
                                                limits.maxFrameBytes(),
                                                new ConnectHandler());
                                    }
                                })
                        .connect(address);
        future.addListener(completed -> onConnected(future));
    }

    private synchronized void onConnected(ChannelFuture future) {
        connecting = false;
        if (!future.isSuccess()) {
            return;
        }
        if (channel != null) {
            channel.close();
        }
        channel = future.channel();
        lastReceivedNanos = System.nanoTime();
        FrameHandler.write(
                channel, Frame.newBuilder().setKind(Frame.Kind.HELLO).setHello(hello).build());
    }

    private synchronized void onFrameReceived(Channel from, Frame frame) {
        if (from != channel) {
            return;
        }
        lastReceivedNanos = System.nanoTime();
        if (frame.getKind() == Frame.Kind.HELLO) {
            window.acknowledge(frame.getHello().getReceived());
            onHello(frame.getHello().getIncarnation());
            open = true;
            lastWrittenSequence = window.lastSequence();
            window.unacknowledged().forEach(pending -> FrameHandler.write(channel, pending));
            return;
        }
        window.acknowledge(frame.getAcknowledged());
    }

    /**
     * Records the incarnation of the peer process. Routing messages written to a previous process
     * are about its runs and slots, and are not resent to its successor.
     */
    private void onHello(long incarnation) {
        if (receiverIncarnation != 0 && incarnation != receiverIncarnation) {
            window.remove(lastWrittenSequence, FrameKinds.toWire(MessageKind.ROUTING));
        }
        receiverIncarnation = incarnation;
    }

    private synchronized void onClosed(Channel closed) {
        if (closed != channel) {
            return;
        }
        long nowNanos = System.nanoTime();
        disconnect(nowNanos);
        if (!window.isEmpty()) {
            // Reconnects without waiting for the next tick, as the peer may accept connections
            // already.
            connect(nowNanos);
        }
    }

    private void disconnect(long nowNanos) {
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

    private final class ConnectHandler extends FrameHandler {
        @Override
        void onFrame(Channel from, Frame frame) {
            onFrameReceived(from, frame);
        }

        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            onClosed(context.channel());
        }
    }
}

package org.orioleshed.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.orioleshed.model.HostId;
import org.orioleshed.wire.PeerWire.Hello;

/**
 * Links to all peers. Small and large messages use separate connections, so that neither delays the
 * other.
 */
public final class PeerNetwork implements PeerPort, AutoCloseable {
    private static final int SMALL_LANE = 0;
    private static final int BULK_LANE = 1;
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int ACKNOWLEDGE_EVERY_FRAMES = 64;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HostId self;
    private final long incarnation;
    private final PeerLimits limits;
    private final EventLoopGroup group;
    private final Bootstrap clientBootstrap;
    private final Channel server;
    private final Map<HostId, Link> links = new ConcurrentHashMap<>();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();

    private record Link(PeerLane small, PeerLane bulk) {
        PeerLane lane(int bytes, int bulkBytes) {
            return bytes >= bulkBytes ? bulk : small;
        }
    }

    /**
     * Listens on {@code listen} and passes messages to {@code listener}.
     *
     * @param self the id of this host
     * @param incarnation the incarnation of this process, sent to peers
     * @param listen the address to listen on
     * @param limits limits of the links
     * @param listener receives the messages of peers
     * @throws IllegalStateException if the address cannot be bound
     */
    public PeerNetwork(
            HostId self,
            long incarnation,
            InetSocketAddress listen,
            PeerLimits limits,
            PeerListener listener) {
        this(
                self,
                incarnation,
                listen,
                limits,
                listener,
                new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory()));
    }

    /**
     * Listens on {@code listen}, using the threads of {@code group}, and shuts the group down on
     * {@link #close}.
     *
     * @param self the id of this host
     * @param incarnation the incarnation of this process, sent to peers
     * @param listen the address to listen on
     * @param limits limits of the links
     * @param listener receives the messages of peers
     * @param group the event loops that serve all connections
     * @throws IllegalStateException if the address cannot be bound
     */
    public PeerNetwork(
            HostId self,
            long incarnation,
            InetSocketAddress listen,
            PeerLimits limits,
            PeerListener listener,
            EventLoopGroup group) {
        this.group = group;
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
        this.clientBootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        this.server = listen(listen, new ReceiveWindows(), listener);
        var unused =
                group.scheduleWithFixedDelay(
                        this::tick,
                        limits.ackRequestIntervalMillis(),
                        limits.ackRequestIntervalMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private Channel listen(
            InetSocketAddress address, ReceiveWindows windows, PeerListener listener) {
        try {
            return new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(
                            new ChannelInitializer<SocketChannel>() {
                                @Override
                                protected void initChannel(SocketChannel socket) {
                                    FrameHandler.install(
                                            socket,
                                            limits.maxFrameBytes(),
                                            new AcceptHandler(
                                                    incarnation,
                                                    windows,
                                                    listener,
                                                    ACKNOWLEDGE_EVERY_FRAMES));
                                }
                            })
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
        } catch (RuntimeException e) {
            group.shutdownGracefully();
            throw new IllegalStateException("cannot listen for peers on " + address, e);
        }
    }

    @Override
    public void setAddress(HostId host, InetSocketAddress address) {
        if (host.equals(self)) {
            return;
        }
        Link link =
                links.computeIfAbsent(
                        host, key -> new Link(lane(SMALL_LANE, address), lane(BULK_LANE, address)));
        link.small().setAddress(address);
        link.bulk().setAddress(address);
    }

    private PeerLane lane(int number, InetSocketAddress address) {
        Hello hello =
                Hello.newBuilder()
                        .setProtocol(PeerLane.PROTOCOL)
                        .setHost(self.value())
                        .setIncarnation(incarnation)
                        .setLane(number)
                        .build();
        return new PeerLane(hello, limits, clientBootstrap, address, System.nanoTime());
    }

    @Override
    public boolean send(HostId to, MessageKind kind, byte[] body) {
        Link link = links.get(to);
        boolean accepted =
                link != null
                        && body.length < limits.maxFrameBytes() / 2
                        && link.lane(body.length, limits.bulkBytes())
                                .send(FrameKinds.toWire(kind), body, System.nanoTime());
        if (accepted) {
            sentBytes.add(body.length);
        } else {
            droppedMessages.increment();
        }
        return accepted;
    }

    /** Returns the total size of the messages accepted for sending since the start, in bytes. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the number of messages that {@link #send} dropped since the start. */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        links.values()
                .forEach(
                        link -> {
                            link.small().tick(nowNanos);
                            link.bulk().tick(nowNanos);
                        });
    }

    @Override
    public void close() {
        links.values()
                .forEach(
                        link -> {
                            link.small().close();
                            link.bulk().close();
                        });
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

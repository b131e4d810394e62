package org.orioleshed.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** The idle connections to one server's address. */
final class ServerPool {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_PART_BYTES = 16_384;

    /** Servers state in whole seconds how long they keep an idle connection; close well before. */
    private static final long KEEP_MARGIN_MILLIS = 1_000;

    /** Where a server does not say how long it keeps an idle connection. */
    private static final long USUAL_KEEP_MILLIS = 4_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Bootstrap bootstrap;
    private final HeaderTranslator translator;
    private final InetSocketAddress address;
    private final Deque<Idle> idle = new ArrayDeque<>();

    private record Idle(ServerConnection connection, long sinceNanos, long untilNanos) {}

    ServerPool(Bootstrap bootstrap, HeaderTranslator translator, InetSocketAddress address) {
        this.bootstrap = bootstrap;
        this.translator = translator;
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Sends a request.
     *
     * @param maxIdleMillis how long a connection may have been idle to be used for it
     * @param sending what cancels it, whatever its state
     */
    void send(
            FullHttpRequest request,
            String id,
            long maxIdleMillis,
            ServerCall call,
            Sending sending) {
        ServerConnection free = takeIdle(maxIdleMillis);
        if (free != null) {
            sending.connection = free;
            free.send(request, id, call);
            return;
        }
        connect(request, id, call, sending);
    }

    private ServerConnection takeIdle(long maxIdleMillis) {
        long nowNanos = System.nanoTime();
        closeOld(nowNanos);
        Idle last = idle.peekLast();
        if (last == null || nowNanos - last.sinceNanos > maxIdleMillis * NANOS_PER_MILLI) {
            return null;
        }
        idle.pollLast();
        return last.connection;
    }

    private void connect(FullHttpRequest request, String id, ServerCall call, Sending sending) {
        AnswerLimit limit = new AnswerLimit();
        ServerConnection connection = new ServerConnection(this, translator, limit);
        ChannelFuture future =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(limit, codec(), connection);
                                    }
                                })
                        .option(ChannelOption.TCP_NODELAY, true)
                        .connect(address);
        future.addListener(done -> connected(future, request, id, call, sending, connection));
    }

    private static HttpClientCodec codec() {
        return new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_PART_BYTES);
    }

    private static void connected(
            ChannelFuture future,
            FullHttpRequest request,
            String id,
            ServerCall call,
            Sending sending,
            ServerConnection connection) {
        if (sending.cancelled) {
            request.release();
            future.channel().close();
            return;
        }
        if (!future.isSuccess()) {
            request.release();
            call.unreachable(String.valueOf(future.cause().getMessage()));
            return;
        }
        sending.connection = connection;
        connection.send(request, id, call);
    }

    void giveBack(ServerConnection connection, long keepMillis) {
        long nowNanos = System.nanoTime();
        long usableMillis =
                keepMillis < 0 ? USUAL_KEEP_MILLIS : Math.max(0, keepMillis - KEEP_MARGIN_MILLIS);
        idle.addLast(new Idle(connection, nowNanos, nowNanos + usableMillis * NANOS_PER_MILLI));
    }

    void forget(ServerConnection connection) {
        idle.removeIf(entry -> entry.connection == connection);
    }

    /** Closes connections that the server may close by itself soon. */
    void closeOld(long nowNanos) {
        while (!idle.isEmpty()) {
            Idle first = idle.peekFirst();
            if (first.untilNanos > nowNanos && first.connection.isOpen()) {
                return;
            }
            idle.pollFirst();
            first.connection.close();
        }
    }

    void close() {
        while (!idle.isEmpty()) {
            idle.pollFirst().connection.close();
        }
    }

    /** A request on its way. */
    static final class Sending {
        private ServerConnection connection;
        private boolean cancelled;

        /** Ends it at once, also at the server. */
        void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel();
            }
        }

        void setReading(boolean wanted) {
            if (connection != null) {
                connection.setReading(wanted);
            }
        }
    }
}

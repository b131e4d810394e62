package org.orioleshed.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** The pool of idle connections to one server's address. */
final class ServerConnectionPool {
    /** Servers state the keep-alive time in whole seconds; connections are closed well before. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    /** The keep-alive time of servers that state none. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Bootstrap bootstrap;
    private final HeaderTranslator translator;
    private final InetSocketAddress address;
    private final BooleanSupplier late;
    private final Deque<Idle> idle = new ArrayDeque<>();

    private record Idle(ServerConnection connection, long sinceNanos, long expiryNanos) {
        boolean isUsable(long nowNanos) {
            return nowNanos - expiryNanos < 0 && connection.isOpen();
        }
    }

    /**
     * Creates a pool without connections.
     *
     * @param late returns whether the end of a connection may have waited unread for long
     */
    ServerConnectionPool(
            Bootstrap bootstrap,
            HeaderTranslator translator,
            InetSocketAddress address,
            BooleanSupplier late) {
        this.bootstrap = bootstrap;
        this.translator = translator;
        this.address = address;
        this.late = late;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Sends a request on an idle connection, or on a new one.
     *
     * @param maxIdleMillis the maximum idle time of a connection to reuse, in milliseconds
     * @param pendingSend the handle that cancels the request in any state
     */
    void send(
            FullHttpRequest request,
            String id,
            long maxIdleMillis,
            ServerCall call,
            PendingSend pendingSend) {
        ServerConnection reused = takeIdle(id, maxIdleMillis);
        if (reused != null) {
            pendingSend.sendOn(reused);
            reused.send(request, id, call);
            return;
        }
        connect(request, id, call, pendingSend);
    }

    /**
     * Takes the connection that was used last, of those that have not carried an id yet and that
     * the server has not ended.
     */
    private ServerConnection takeIdle(String id, long maxIdleMillis) {
        long nowNanos = System.nanoTime();
        Optional<ServerConnection> taken = takeNewest(id, maxIdleMillis, nowNanos);
        while (taken.isPresent() && late.getAsBoolean() && !taken.get().isStillOpen()) {
            taken = takeNewest(id, maxIdleMillis, nowNanos);
        }
        return taken.orElse(null);
    }

    private Optional<ServerConnection> takeNewest(String id, long maxIdleMillis, long nowNanos) {
        Iterator<Idle> newestFirst = idle.descendingIterator();
        while (newestFirst.hasNext()) {
            Idle next = newestFirst.next();
            if (nowNanos - next.sinceNanos > maxIdleMillis * NANOS_PER_MILLI) {
                return Optional.empty();
            }
            if (next.isUsable(nowNanos) && !next.connection.hasCarried(id)) {
                newestFirst.remove();
                return Optional.of(next.connection);
            }
        }
        return Optional.empty();
    }

    private void connect(
            FullHttpRequest request, String id, ServerCall call, PendingSend pendingSend) {
        ResponseHeadLimit limit = new ResponseHeadLimit();
        ServerConnection connection = new ServerConnection(this, translator, limit);
        ChannelFuture future =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        limit,
                                                        connection.decoder(),
                                                        new HttpRequestEncoder(),
                                                        connection);
                                    }
                                })
                        .option(ChannelOption.TCP_NODELAY, true)
                        .connect(address);
        future.addListener(done -> connected(future, request, id, call, pendingSend, connection));
    }

    private static void connected(
            ChannelFuture future,
            FullHttpRequest request,
            String id,
            ServerCall call,
            PendingSend pendingSend,
            ServerConnection connection) {
        if (pendingSend.cancelled) {
            request.release();
            future.channel().close();
            return;
        }
        if (!future.isSuccess()) {
            request.release();
            call.unreachable(String.valueOf(future.cause().getMessage()));
            return;
        }
        if (!call.confirmSend()) {
            request.release();
            future.channel().close();
            return;
        }
        pendingSend.sendOn(connection);
        connection.send(request, id, call);
    }

    void release(ServerConnection connection, long keepAliveMillis) {
        long nowNanos = System.nanoTime();
        long usableMillis =
                keepAliveMillis < 0
                        ? DEFAULT_KEEP_ALIVE_MILLIS
                        : Math.max(0, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
        idle.addLast(new Idle(connection, nowNanos, nowNanos + usableMillis * NANOS_PER_MILLI));
    }

    void remove(ServerConnection connection) {
        idle.removeIf(entry -> entry.connection == connection);
    }

    /** Closes connections that the server may soon close itself. */
    void closeExpired(long nowNanos) {
        for (Idle entry : List.copyOf(idle)) {
            if (!entry.isUsable(nowNanos)) {
                idle.remove(entry);
                entry.connection.close();
            }
        }
    }

    void close() {
        while (!idle.isEmpty()) {
            idle.pollFirst().connection.close();
        }
    }

    /** The handle of a request being sent. */
    static final class PendingSend {
        private ServerConnection connection;
        private long sentNanos;
        private boolean cancelled;

        private void sendOn(ServerConnection newConnection) {
            connection = newConnection;
            sentNanos = System.nanoTime();
        }

        /** Returns whether the request was sent at least a time ago. */
        boolean wasSent(long ageNanos, long nowNanos) {
            return connection != null && nowNanos - sentNanos >= ageNanos;
        }

        /** Returns whether the request was sent; before that, a connection is being opened. */
        boolean wasSent() {
            return connection != null;
        }

        /** Ends the request at once by closing its connection. */
        void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel();
            }
        }

        /** Reads what the connection received and the event loop has not read yet. */
        void receive() {
            if (connection != null) {
                connection.receiveAll();
            }
        }

        void setReading(boolean enabled) {
            if (connection != null) {
                connection.setReading(enabled);
            }
        }
    }
}

package org.orioleshed.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;

/** Opens the listening sockets of a host, all served by one group of event loops. */
final class Listeners {
    private static final int BACKLOG = 1_024;

    private final EventLoopGroup group;

    Listeners(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Opens a listener whose connections are handled by {@code handler}.
     *
     * @return the channel that accepts connections; close it to accept no more
     * @throws RuntimeException if the address cannot be bound; Netty rethrows the I/O error
     */
    Channel listen(InetSocketAddress address, ChannelHandler handler) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handler)
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Opens a listener for requests.
     *
     * @param acceptor takes the requests
     * @return the channel that accepts connections
     * @throws RuntimeException as {@link #listen}
     */
    Channel listenForRequests(InetSocketAddress address, RequestAcceptor acceptor) {
        return listen(address, requestHandler(acceptor));
    }

    /**
     * Accepts connections that wait in a listener's backlog, as many as one poll would; call on the
     * listener's event loop.
     */
    static void acceptWaiting(Channel listener) {
        if (listener.isOpen()) {
            UnreadInput.read(listener);
        }
    }

    private static ChannelHandler requestHandler(RequestAcceptor acceptor) {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new StrictRequestDecoder(acceptor.limits().maxHeaderBytes()))
                        .addLast(new HttpResponseEncoder())
                        .addLast(new CallerConnection(acceptor));
            }
        };
    }
}

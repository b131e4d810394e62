package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** An HTTP endpoint that serves short texts, such as readiness or metrics. */
final class StatusServer extends ChannelInitializer<SocketChannel> {
    private final Function<Request, Reply> replies;

    /** A response. */
    record Reply(HttpResponseStatus status, String text) {}

    /**
     * A request.
     *
     * @param isLocal whether it comes from the address at which it arrived
     */
    record Request(HttpMethod method, String path, boolean isLocal) {}

    /** Creates an endpoint; {@code replies} maps a request to a reply. */
    StatusServer(Function<Request, Reply> replies) {
        this.replies = replies;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline().addLast(new HttpServerCodec()).addLast(new Handler());
    }

    private final class Handler extends SimpleChannelInboundHandler<HttpObject> {
        private Request request = new Request(HttpMethod.GET, "/", false);

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpRequest head) {
                request = new Request(head.method(), head.uri(), isLocal(context));
            }
            if (part instanceof LastHttpContent) {
                respond(context);
            }
        }

        private static boolean isLocal(ChannelHandlerContext context) {
            return context.channel().remoteAddress() instanceof InetSocketAddress from
                    && context.channel().localAddress() instanceof InetSocketAddress to
                    && from.getAddress().equals(to.getAddress());
        }

        private void respond(ChannelHandlerContext context) {
            Reply reply = replies.apply(request);
            ByteBuf body = Unpooled.wrappedBuffer(reply.text().getBytes(StandardCharsets.UTF_8));
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(), body);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}

package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Answers questions for a short text: whether the host is ready, or its metrics. */
final class StatusServer extends ChannelInitializer<SocketChannel> {
    private final Function<String, Reply> replies;

    /** An answer. */
    record Reply(HttpResponseStatus status, String text) {}

    /** Makes one that answers a path by {@code replies}. */
    StatusServer(Function<String, Reply> replies) {
        this.replies = replies;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline().addLast(new HttpServerCodec()).addLast(new Handler());
    }

    private final class Handler extends SimpleChannelInboundHandler<HttpObject> {
        private String path = "/";

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpRequest request) {
                path = request.uri();
            }
            if (part instanceof LastHttpContent) {
                answer(context);
            }
        }

        private void answer(ChannelHandlerContext context) {
            Reply reply = replies.apply(path);
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

package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Limits the bytes that a server may send before the head of its response is complete. The codec
 * decodes blank lines, interim responses and responses to other requests one by one and never
 * rejects an endless sequence of them.
 */
final class ResponseHeadLimit extends ChannelInboundHandlerAdapter {
    private static final long MAX_BYTES = 256 << 10;

    private boolean awaitingHead;
    private long receivedBytes;

    /** Starts counting for a request that is being sent. */
    void requestSent() {
        awaitingHead = true;
        receivedBytes = 0;
    }

    /** Stops counting: the head of the response is complete. */
    void headReceived() {
        awaitingHead = false;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf buffer = (ByteBuf) message;
        receivedBytes += buffer.readableBytes();
        if (awaitingHead && receivedBytes > MAX_BYTES) {
            buffer.release();
            context.fireExceptionCaught(
                    new TooLongFrameException("no answer within %d bytes".formatted(MAX_BYTES)));
            return;
        }
        context.fireChannelRead(buffer);
    }
}

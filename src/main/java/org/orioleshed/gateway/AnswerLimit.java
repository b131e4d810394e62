package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Bounds the bytes that a server may send before the head of its answer is complete: blank lines,
 * interim answers and answers to other requests without end, which the codec reads one by one and
 * never refuses.
 */
final class AnswerLimit extends ChannelInboundHandlerAdapter {
    private static final long MAX_BYTES = 256 << 10;

    private boolean waiting;
    private long bytes;

    /** A request is sent; its answer is waited for. */
    void begin() {
        waiting = true;
        bytes = 0;
    }

    /** The head of the answer is complete. */
    void answered() {
        waiting = false;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf part = (ByteBuf) message;
        bytes += part.readableBytes();
        if (waiting && bytes > MAX_BYTES) {
            part.release();
            context.fireExceptionCaught(
                    new TooLongFrameException("no answer within %d bytes".formatted(MAX_BYTES)));
            return;
        }
        context.fireChannelRead(part);
    }
}

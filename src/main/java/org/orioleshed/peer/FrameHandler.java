package org.orioleshed.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.orioleshed.wire.PeerWire.Frame;

/** Decodes the frames of a connection; closes the connection at the first invalid frame. */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_BYTES = 4;

    /** Up to this many frames queued on a busy connection are flushed in one system call. */
    private static final int MAX_CONSOLIDATED_FLUSHES = 256;

    /** Installs length-prefixed framing with a size limit on a channel, followed by a handler. */
    static void install(Channel channel, int maxFrameBytes, FrameHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(handler);
    }

    /** Writes and flushes a frame on the channel's event loop; does not block. */
    static void write(Channel channel, Frame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame.toByteArray()), channel.voidPromise());
    }

    /** Handles a received frame. */
    abstract void onFrame(Channel channel, Frame frame);

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
            throws InvalidProtocolBufferException {
        Frame frame = Frame.parseFrom(bytes.nioBuffer());
        onFrame(context.channel(), frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}

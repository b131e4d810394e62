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

/** Turns a connection's bytes into frames; closes it at the first that is none. */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_BYTES = 4;

    /** Frames that wait on a busy connection are sent in one system call, up to this many. */
    private static final int FLUSHES_AT_ONCE = 256;

    /** Sets up a channel with length-limited frames and {@code handler} behind them. */
    static void install(Channel channel, int maxFrameBytes, FrameHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new FlushConsolidationHandler(FLUSHES_AT_ONCE, true));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(handler);
    }

    /** Writes a frame; the channel's own thread sends it. */
    static void write(Channel channel, Frame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame.toByteArray()), channel.voidPromise());
    }

    /** Takes a frame. */
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

package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Predicate;
import org.orioleshed.http.StrictResponseDecoder;

/**
 * Decodes a server's responses. Rejects bytes that are received while no request is on its way, and
 * tells whether any were received after a complete response.
 */
final class ServerResponseDecoder extends StrictResponseDecoder {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_PART_BYTES = 16_384;

    private final Predicate<HttpResponse> answersHead;
    private boolean awaitingResponse;

    /**
     * Creates a decoder.
     *
     * @param answersHead returns whether a response is one to a HEAD request, which has no body
     */
    ServerResponseDecoder(Predicate<HttpResponse> answersHead) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_PART_BYTES));
        this.answersHead = answersHead;
    }

    /** Sets whether a response is expected; bytes that are received at other times are rejected. */
    void awaitResponse(boolean awaited) {
        awaitingResponse = awaited;
    }

    /** Returns whether bytes were received that are not decoded yet. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf && !awaitingResponse) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new CorruptedFrameException("unsolicited bytes"));
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message) || answersHead.test((HttpResponse) message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "Content-Length and Transfer-Encoding must not both be present");
    }
}

package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;

/**
 * Rejects requests with both Content-Length and a transfer coding (request smuggling), and knows
 * whether a request was received in part.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_PART_BYTES = 16_384;

    private final int maxHeaderBytes;
    private boolean receiving;
    private long receivingSinceNanos;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(MAX_PART_BYTES));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    /** Returns the maximum size of a request's head, in bytes. */
    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /** Returns whether a request was received in part. */
    boolean isReceiving() {
        return receiving;
    }

    /**
     * Returns when the first bytes of the request that is being received were read, in nanoseconds
     * on the monotonic clock.
     */
    long receivingSinceNanos() {
        return receivingSinceNanos;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
            throws Exception {
        // Empty lines before a request are allowed and ignored.
        if (!receiving && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) {
            receiving = true;
            receivingSinceNanos = System.nanoTime();
        }
        int before = parts.size();
        super.decode(context, bytes, parts);
        if (parts.size() > before && parts.get(parts.size() - 1) instanceof LastHttpContent) {
            receiving = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "Content-Length and Transfer-Encoding must not both be present");
    }
}

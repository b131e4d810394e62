package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with both Content-Length and a transfer coding (request smuggling). */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_PART_BYTES = 16_384;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(MAX_PART_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "Content-Length and Transfer-Encoding must not both be present");
    }
}

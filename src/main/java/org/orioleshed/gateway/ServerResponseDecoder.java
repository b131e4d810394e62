package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;
import org.orioleshed.http.StrictResponseDecoder;

/** Decodes a server's responses, also those to HEAD requests. */
final class ServerResponseDecoder extends StrictResponseDecoder {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_PART_BYTES = 16_384;

    private final Predicate<HttpResponse> answersHead;

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
        awaitResponse(false);
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

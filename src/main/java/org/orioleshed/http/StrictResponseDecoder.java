package org.orioleshed.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes only responses that are in the message syntax of HTTP. Where a head, an interim response
 * or a trailer section is not, its {@link HttpMessage#decoderResult() decoder result} is a failure
 * and nothing else is decoded. Rejects bytes that are received while no response is expected, and
 * tells whether any were received after a complete response.
 *
 * <p>The methods that it overrides are called in the course of decoding, before anything that the
 * message states is applied.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean awaitingResponse = true;

    /**
     * Creates a decoder that expects a response.
     *
     * @param config the codec's limits
     */
    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Returns what is malformed, for log lines; contains nothing that was received. */
    public static String describeFailure(HttpObject part) {
        return part.decoderResult().cause() instanceof MalformedResponseException malformed
                ? "malformed response: " + malformed.getMessage()
                : "malformed response";
    }

    /** Sets whether a response is expected; bytes that are received at other times are rejected. */
    public final void awaitResponse(boolean awaited) {
        awaitingResponse = awaited;
    }

    /** Returns whether bytes were received that are not decoded yet. */
    public final boolean hasUnreadBytes() {
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
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        ResponseSyntax.checkLineStart(line, start);
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        ResponseSyntax.checkStatusStart(line, start);
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        ResponseSyntax.checkReasonStart(line, start);
        return super.splitThirdWordInitialLine(line, start, length);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        ResponseSyntax.checkStatusLine(statusLine[0], statusLine[1], statusLine[2]);
        return super.createMessage(statusLine);
    }

    /** Called for each field line of a head or trailer section that does not continue another. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        ResponseSyntax.checkFieldName(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    /** Called when a head is complete, before it is applied how the end of the body is stated. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        ResponseSyntax.checkFraming((HttpResponse) message);
        return super.isContentAlwaysEmpty(message);
    }
}

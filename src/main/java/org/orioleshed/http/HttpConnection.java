package org.orioleshed.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * A client's connection, which carries one request at a time. Reads only what its call demands;
 * used on its event loop only.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
    private final StrictResponseDecoder decoder =
            new StrictResponseDecoder(new HttpDecoderConfig());
    private final Consumer<HttpConnection> onIdle;
    private Channel channel;
    private HttpCall<?> call;
    private boolean written;
    private boolean inBody;
    private boolean complete;
    private boolean reusable;
    private boolean failed;
    private long idleSinceNanos;

    /**
     * Creates a connection whose channel is not open yet.
     *
     * @param onIdle called when a response is complete and the connection may be used again
     */
    HttpConnection(Consumer<HttpConnection> onIdle) {
        this.onIdle = onIdle;
    }

    /** Adds the codec and this connection to the pipeline of a new channel. */
    void addTo(ChannelPipeline pipeline) {
        channel = pipeline.channel();
        pipeline.addLast(new HttpRequestEncoder(), decoder, this);
    }

    /** Sends a request; the connection is open and idle. */
    void send(HttpCall<?> newCall) {
        call = newCall;
        written = false;
        inBody = false;
        complete = false;
        decoder.awaitResponse(true);
        call.sentOn(this);
        channel.writeAndFlush(call.encodedRequest())
                .addListener(
                        done -> {
                            written = done.isSuccess();
                            if (!done.isSuccess()) {
                                fail("write: " + done.cause().getMessage());
                            }
                        });
        channel.read();
    }

    /** Reads on, if the response is not complete. */
    void read() {
        channel.read();
    }

    boolean isOpen() {
        return channel.isActive() && !failed;
    }

    /** Returns whether the connection has been idle for a time, in nanoseconds. */
    boolean isIdleFor(long nanos) {
        return call == null && System.nanoTime() - idleSinceNanos >= nanos;
    }

    /** Ends a call by closing the connection; does nothing if the call is over. */
    void cancel(HttpCall<?> cancelled) {
        if (call == cancelled) {
            close();
        }
    }

    void close() {
        call = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            receive((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receive(HttpObject part) {
        if (call == null || complete) {
            fail("unsolicited response");
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail(StrictResponseDecoder.describeFailure(part));
            return;
        }
        if (part instanceof HttpResponse response && !isInterim(response)) {
            inBody = true;
            reusable = HttpUtil.isKeepAlive(response) && BodyEnd.of(response, false).isStated();
            call.receiveHead(response);
        }
        if (part instanceof HttpContent content && inBody) {
            receiveContent(content);
        }
    }

    private static boolean isInterim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void receiveContent(HttpContent content) {
        call.receiveContent(content.content());
        if (content instanceof LastHttpContent) {
            complete = true;
            reusable &= !decoder.hasUnreadBytes();
            decoder.awaitResponse(false);
            call.receiveEnd();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (complete && call != null) {
            finish();
        } else if (call != null && call.demandsMore()) {
            channel.read();
        }
    }

    /** Ends a call whose response is complete. */
    private void finish() {
        call = null;
        if (!reusable || !written) {
            channel.close();
            return;
        }
        idleSinceNanos = System.nanoTime();
        onIdle.accept(this);
        // Notices the end of an idle connection.
        channel.read();
    }

    private void fail(String detail) {
        failed = true;
        HttpCall<?> failedCall = call;
        call = null;
        if (failedCall != null && !complete) {
            failedCall.fail(new IOException(detail));
        }
        channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
    }
}

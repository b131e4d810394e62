package org.orioleshed.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** One connection to a server; carries one request at a time. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private enum Reading {
        NOTHING,
        HEAD,
        BODY,
        /** The body of an answer to another request. */
        STRAY_BODY
    }

    private final ServerPool pool;
    private final HeaderTranslator translator;
    private final AnswerLimit limit;
    private Channel channel;
    private ServerCall call;
    private String id;
    private Reading reading = Reading.NOTHING;
    private boolean written;
    private boolean failed;
    private boolean reusable;
    private int calls;
    private long keepMillis;

    /**
     * Makes one for a channel that is not open yet.
     *
     * @param limit counts the channel's bytes before they are decoded
     */
    ServerConnection(ServerPool pool, HeaderTranslator translator, AnswerLimit limit) {
        this.pool = pool;
        this.translator = translator;
        this.limit = limit;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; {@code requestId} is the id that its answer must bear. */
    void send(FullHttpRequest request, String requestId, ServerCall newCall) {
        call = newCall;
        calls++;
        limit.begin();
        id = requestId;
        reading = Reading.HEAD;
        reusable = true;
        written = false;
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            written = done.isSuccess();
                            if (!done.isSuccess()) {
                                lose("write: " + done.cause().getMessage());
                            }
                        });
    }

    /** Ends the request by closing the connection. */
    void cancel() {
        call = null;
        channel.close();
    }

    void setReading(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    boolean isOpen() {
        return channel.isActive() && !failed;
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        try {
            take(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void take(HttpObject part) {
        if (call == null) {
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            lose("bytes that are no answer");
            return;
        }
        if (part instanceof HttpResponse response) {
            takeHead(response);
        }
        if (part instanceof HttpContent content && call != null) {
            takeContent(content);
        }
    }

    private void takeHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        ResponseHeaders responseHeaders =
                translator.readAnswer(response.status().code(), response.headers());
        if (!response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            call.noticed(responseHeaders);
        }
        if (!responseHeaders.id().isEmpty() && !responseHeaders.id().equals(id)) {
            reading = Reading.STRAY_BODY;
            reusable = false;
            return;
        }
        if (responseHeaders.id().isEmpty() && calls > 1) {
            lose("an answer without an id on a connection that was in use before");
            return;
        }
        limit.answered();
        reading = Reading.BODY;
        keepMillis = responseHeaders.keepMillis();
        reusable &= HttpUtil.isKeepAlive(response) && written;
        reusable &=
                HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response);
        call.head(response, responseHeaders);
    }

    private void takeContent(HttpContent content) {
        if (reading == Reading.BODY && content.content().isReadable()) {
            call.content(content.content());
        }
        if (!(content instanceof LastHttpContent) || call == null) {
            return;
        }
        if (reading == Reading.STRAY_BODY) {
            reading = Reading.HEAD;
        } else if (reading == Reading.BODY) {
            complete();
        }
    }

    private void complete() {
        if (failed) {
            lose("reset");
            return;
        }
        ServerCall done = call;
        call = null;
        reading = Reading.NOTHING;
        if (reusable) {
            channel.config().setAutoRead(true);
            pool.giveBack(this, keepMillis);
        } else {
            channel.close();
        }
        done.end();
    }

    private void lose(String detail) {
        failed = true;
        ServerCall lost = call;
        call = null;
        if (channel != null) {
            channel.close();
        }
        if (lost != null) {
            lost.broken(detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        lose(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.forget(this);
        lose("closed");
    }
}

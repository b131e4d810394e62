package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashMap;
import java.util.Map;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.http.StrictResponseDecoder;

/** A connection to a server that carries one request at a time. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** A late answer repeats one of the last requests; earlier ones are forgotten. */
    private static final int MAX_REMEMBERED_REQUESTS = 64;

    /** Bounds the work on a response that arrives as fast as it is read. */
    private static final int MAX_READ_ROUNDS = 100;

    private enum State {
        IDLE,
        HEAD,
        BODY,
        /** The response is complete; what else was received at the same time is not read yet. */
        COMPLETE,
        /** The body of a response to another request. */
        STRAY_BODY
    }

    private final ServerConnectionPool pool;
    private final HeaderTranslator translator;
    private final ResponseHeadLimit limit;
    private final ServerResponseDecoder decoder = new ServerResponseDecoder(this::answersHead);

    /** Whether each of the last requests on this connection was a HEAD request. */
    private final Map<String, Boolean> headOnlyById = new LinkedHashMap<>();

    /** Searches the body for a second response; null if its framing tells them apart. */
    private SecondHeadScanner scanner;

    private Channel channel;
    private ServerCall call;
    private String requestId;
    private State state = State.IDLE;
    private boolean written;
    private boolean reading;
    private int partCount;
    private boolean headOnly;
    private boolean failed;
    private boolean reusable;
    private int callCount;
    private long keepAliveMillis;

    /**
     * Creates a connection whose channel is not open yet.
     *
     * @param limit limits the channel's bytes before they are decoded
     */
    ServerConnection(
            ServerConnectionPool pool, HeaderTranslator translator, ResponseHeadLimit limit) {
        this.pool = pool;
        this.translator = translator;
        this.limit = limit;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; {@code newRequestId} is the id expected in its response. */
    void send(FullHttpRequest request, String newRequestId, ServerCall newCall) {
        call = newCall;
        callCount++;
        limit.requestSent();
        requestId = newRequestId;
        headOnly = request.method().equals(HttpMethod.HEAD);
        remember(newRequestId, headOnly);
        decoder.awaitResponse(true);
        state = State.HEAD;
        reusable = true;
        written = false;
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            written = done.isSuccess();
                            if (!done.isSuccess()) {
                                fail("write: " + done.cause().getMessage());
                            }
                        });
    }

    private void remember(String id, boolean isHeadOnly) {
        headOnlyById.put(id, isHeadOnly);
        if (headOnlyById.size() > MAX_REMEMBERED_REQUESTS) {
            headOnlyById.remove(headOnlyById.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a request with an id was sent on this connection. A late answer to it could
     * not be told from the answer to another request with the same id.
     */
    boolean hasCarried(String id) {
        return headOnlyById.containsKey(id);
    }

    /** Returns whether a response answers a HEAD request, also if it is late. */
    private boolean answersHead(HttpResponse response) {
        if (!headOnlyById.containsValue(true)) {
            return false;
        }
        String id = translator.readResponse(response.status().code(), response.headers()).id();
        return id.isEmpty() ? headOnly : headOnlyById.getOrDefault(id, false);
    }

    /** Returns the decoder of this connection's channel. */
    ServerResponseDecoder decoder() {
        return decoder;
    }

    /** Ends the request by closing the connection. */
    void cancel() {
        call = null;
        channel.close();
    }

    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    boolean isOpen() {
        return channel.isActive() && !failed;
    }

    /**
     * Returns whether the server has not ended the connection. Reads what the connection received,
     * as its end may wait unread; call only while the connection is idle.
     */
    boolean isStillOpen() {
        readOnce();
        return isOpen();
    }

    /** Reads what the connection received for the current request, as long as more is there. */
    void receiveAll() {
        int rounds = 0;
        int before;
        do {
            before = partCount;
            readOnce();
            rounds++;
        } while (partCount > before && call != null && rounds < MAX_READ_ROUNDS);
    }

    private void readOnce() {
        if (!reading) {
            UnreadInput.read(channel);
        }
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        partCount++;
        HttpObject part = (HttpObject) message;
        try {
            receive(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void receive(HttpObject part) {
        if (call == null) {
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail(StrictResponseDecoder.describeFailure(part));
            return;
        }
        if (part instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (part instanceof HttpContent content && call != null) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse response) {
        if (isMixed(response)) {
            fail("malformed response");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        ResponseHeaders responseHeaders =
                translator.readResponse(response.status().code(), response.headers());
        if (!response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            call.noticed(responseHeaders);
        }
        if (!responseHeaders.id().isEmpty() && !responseHeaders.id().equals(requestId)) {
            state = State.STRAY_BODY;
            reusable = false;
            return;
        }
        if (responseHeaders.id().isEmpty() && callCount > 1) {
            fail("response without a request id on a reused connection");
            return;
        }
        limit.headReceived();
        state = State.BODY;
        keepAliveMillis = responseHeaders.keepAliveMillis();
        BodyEnd bodyEnd = BodyEnd.of(response, headOnly);
        reusable &= HttpUtil.isKeepAlive(response) && written && bodyEnd.isStated();
        scanner = scanner(response, bodyEnd);
        call.head(response, responseHeaders, bodyEnd);
    }

    private static SecondHeadScanner scanner(HttpResponse response, BodyEnd bodyEnd) {
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean events = type.startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString());
        return events || !bodyEnd.isStated() ? new SecondHeadScanner(events) : null;
    }

    /** Returns whether a head contains the beginning of another one, after it was cut off. */
    private boolean isMixed(HttpResponse response) {
        return SecondHeadScanner.hasStatusLine(response.status().reasonPhrase())
                || translator.mixesResponses(response.headers())
                || response.headers().entries().stream()
                        .anyMatch(field -> SecondHeadScanner.hasStatusLine(field.getValue()));
    }

    private void receiveContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (state == State.BODY && isMixed(content.content(), isLast)) {
            fail("second response inside the body");
            return;
        }
        if (state == State.BODY && content.content().isReadable()) {
            call.content(content.content());
        }
        if (!isLast || call == null) {
            return;
        }
        if (state == State.STRAY_BODY) {
            state = State.HEAD;
        } else if (state == State.BODY) {
            complete();
        }
    }

    private boolean isMixed(ByteBuf bytes, boolean isLast) {
        return scanner != null && (scanner.scan(bytes) || (isLast && scanner.endsInside()));
    }

    private void complete() {
        if (failed) {
            fail("reset");
            return;
        }
        reusable &= !decoder.hasUnreadBytes();
        decoder.awaitResponse(false);
        state = State.COMPLETE;
        if (!reusable) {
            end();
        }
    }

    /** Reuses the connection if nothing was received beyond the complete response. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.COMPLETE && call != null) {
            end();
        }
        reading = false;
        context.fireChannelReadComplete();
    }

    /** Ends a call whose response is complete. */
    private void end() {
        ServerCall done = call;
        call = null;
        state = State.IDLE;
        if (reusable) {
            channel.config().setAutoRead(true);
            pool.release(this, keepAliveMillis);
        } else {
            channel.close();
        }
        done.end();
    }

    private void fail(String detail) {
        failed = true;
        if (state == State.COMPLETE && call != null) {
            reusable = false;
            end();
            return;
        }
        ServerCall failedCall = call;
        call = null;
        if (channel != null) {
            channel.close();
        }
        if (failedCall != null) {
            failedCall.broken(detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.remove(this);
        fail("closed");
    }
}

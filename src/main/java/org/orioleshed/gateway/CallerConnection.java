package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.CallerLimits;
import org.orioleshed.http.BodyEnd;

/**
 * One caller's connection. Reads whole requests one at a time and writes the responses in order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Parts of pipelined requests to buffer while one is served; the rest stay in the socket. */
    private static final int MAX_PIPELINED_PARTS = 64;

    /** A request keeps its body, and one copy is on its way to a server. */
    private static final int COPIES_OF_BODY = 2;

    /** When a large request that did not fit into memory is to be sent again, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    /** A caller sends its first request within this time after it connected. */
    private static final long FIRST_REQUEST_MILLIS = 500;

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final int NO_LINGER = -1;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RequestAcceptor acceptor;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private final RequestAssembler requests;

    /** The body of the request in progress and its copy for the server, in bytes. */
    private long requestBytes;

    private Channel channel;
    private StrictRequestDecoder decoder;
    private IdleTimeout idleTimeout;

    /** For how long the last response said that the connection may be idle, in milliseconds. */
    private long statedIdleMillis;

    private long lastUnwrittenBytes;
    private Exchange exchange;
    private StartQueue.PendingStart pendingStart;
    private boolean keepAlive = true;
    private boolean inputClosed;
    private boolean reading;
    private boolean acceptedLate;
    private boolean chunkedResponse;
    private boolean headOnly;
    private boolean resets;

    CallerConnection(RequestAcceptor acceptor) {
        this.acceptor = acceptor;
        this.requests = new RequestAssembler(acceptor);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        decoder = context.pipeline().get(StrictRequestDecoder.class);
        idleTimeout = new IdleTimeout(acceptor.limitChangeMillis());
        idleTimeout.begin(System.nanoTime(), acceptor.limits().idleTimeoutMillis());
        acceptedLate = acceptor.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        acceptor.closed(this);
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (pendingStart != null) {
            acceptor.withdraw(pendingStart);
            pendingStart = null;
        }
        if (exchange != null) {
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.callerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        CallerBuffers buffers = acceptor.buffers();
        buffers.update(this);
        if (exchange != null) {
            exchange.callerWritable(channel.isWritable() || buffers.mayBuffer(this));
        }
    }

    /** Returns what is kept of a request and not written of responses, in bytes. */
    long bufferedBytes() {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return requests.bodyBytes()
                + requestBytes
                + (unwritten == null ? 0 : unwritten.totalPendingWriteBytes());
    }

    /**
     * Ends the connection and its request, as the caller is too slow. Runs later, since the caller
     * of this method may be in the middle of the same request.
     */
    void cutOffLater() {
        inputClosed = true;
        channel.eventLoop().execute(this::cutOff);
    }

    private void cutOff() {
        requests.drop();
        if (exchange != null) {
            exchange.callerDisconnected();
        }
        abort();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            acceptor.failed("caller", cause);
        }
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        HttpObject part = (HttpObject) message;
        if (inputClosed) {
            ReferenceCountUtil.release(part);
            return;
        }
        // What was read before it goes first, also where its turn is only scheduled.
        if (isBusy() || !pipelined.isEmpty()) {
            pipelined.add(part);
            if (pipelined.size() > MAX_PIPELINED_PARTS) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        read(part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = false;
    }

    /** Returns whether the connection was opened late, so that its input may have waited long. */
    boolean acceptedLate() {
        return acceptedLate;
    }

    /** Returns whether input is being read, so that {@link #isStillOpen} cannot read more. */
    boolean isReading() {
        return reading;
    }

    /**
     * Returns whether the caller has not disconnected. Reads what the connection received, as the
     * end of the connection may wait unread.
     */
    boolean isStillOpen() {
        receive();
        return channel.isOpen();
    }

    /** Reads what the connection received and the event loop has not read yet. */
    void receive() {
        if (!reading && channel.config().isAutoRead()) {
            UnreadInput.read(channel);
        }
    }

    /** Takes all that the connection received, as the host stops serving. */
    void takeReceived() {
        receive();
        next();
    }

    private void read(HttpObject part) {
        try {
            switch (requests.add(part)) {
                case RequestAssembler.Begun begun -> begin(begun.head());
                case RequestAssembler.Incomplete incomplete -> acceptor.buffers().update(this);
                case RequestAssembler.Whole whole -> accept(whole.request());
                case RequestAssembler.Rejected rejected ->
                        reject(rejected.status(), rejected.reason());
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void begin(HttpRequest head) {
        keepAlive = HttpUtil.isKeepAlive(head);
        chunkedResponse = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        headOnly = head.method().name().equals("HEAD");
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void accept(CallerRequest request) {
        requestBytes = COPIES_OF_BODY * (long) request.body().size();
        acceptor.buffers().update(this);
        pendingStart = acceptor.hold(this, request).orElse(null);
        if (pendingStart == null) {
            serve(request);
        }
    }

    private boolean isBusy() {
        return exchange != null || pendingStart != null;
    }

    /** Serves a request that was read, at once or after it waited while the host was late. */
    void serve(CallerRequest request) {
        pendingStart = null;
        exchange = acceptor.exchange(this, request);
        exchange.start();
    }

    /** Ends the connection because of an internal fault. */
    void failed(Throwable cause) {
        channel.pipeline().fireExceptionCaught(cause);
    }

    /** Refuses the request that waits to be served. */
    void refuse(HttpResponseStatus status, HttpHeaders headers) {
        pendingStart = null;
        respond(status, headers, new byte[0]);
    }

    /** Responds to a request that was not read to its end, and closes the connection. */
    private void reject(HttpResponseStatus status, String reason) {
        reject(status, reason, RETRY_AFTER_SECONDS);
    }

    private void reject(HttpResponseStatus status, String reason, int retryAfterSeconds) {
        inputClosed = true;
        requests.drop();
        keepAlive = false;
        chunkedResponse = true;
        acceptor.rejected(status.code(), reason);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
        }
        acceptor.markRejected(headers);
        respond(status, headers, new byte[0]);
    }

    /**
     * Closes the connection if it was idle, and refuses a request that took too long to arrive. The
     * connection is not idle while its caller reads the end of a response.
     */
    void checkIdle(long nowNanos) {
        if (!channel.isOpen()) {
            return;
        }
        CallerLimits limits = acceptor.limits();
        applyHeaderLimit(limits.maxHeaderBytes());
        if (!isOverdue(nowNanos, limits)) {
            return;
        }
        // The request that was awaited may lie in the socket.
        receive();
        if (!channel.isOpen() || !isOverdue(nowNanos, limits)) {
            return;
        }
        if (inputClosed) {
            logClose(CloseReason.UNREAD_RESPONSE, nowNanos);
            abort();
        } else if (decoder.isReceiving()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "slow");
        } else {
            logClose(CloseReason.IDLE, nowNanos);
            channel.close();
        }
    }

    /** Makes a changed limit hold from the next request on. */
    private void applyHeaderLimit(int maxHeaderBytes) {
        if (maxHeaderBytes == decoder.maxHeaderBytes() || decoder.isReceiving()) {
            return;
        }
        StrictRequestDecoder newDecoder = new StrictRequestDecoder(maxHeaderBytes);
        channel.pipeline().replace(decoder, null, newDecoder);
        decoder = newDecoder;
    }

    /**
     * Returns whether a request, the rest of one, or that the caller reads its last response, was
     * awaited for too long.
     */
    private boolean isOverdue(long nowNanos, CallerLimits limits) {
        if (isBusy() || !pipelined.isEmpty()) {
            return false;
        }
        idleTimeout.recordLimit(limits.idleTimeoutMillis());
        long unwrittenBytes = bufferedBytes();
        if (unwrittenBytes < lastUnwrittenBytes) {
            idleTimeout.restart(nowNanos);
        }
        lastUnwrittenBytes = unwrittenBytes;
        boolean receiving = decoder.isReceiving() && !inputClosed;
        return receiving
                ? isSlow(nowNanos, limits.headerTimeoutMillis())
                : idleTimeout.isOver(nowNanos);
    }

    /** Returns whether the request that was received in part takes too long. */
    private boolean isSlow(long nowNanos, long headerTimeoutMillis) {
        if (!requests.hasHead()) {
            long sinceNanos = Math.max(idleTimeout.sinceNanos(), decoder.receivingSinceNanos());
            return nowNanos - sinceNanos > headerTimeoutMillis * NANOS_PER_MILLI;
        }
        long timeoutMillis = headerTimeoutMillis + idleTimeout.longestMillis();
        return nowNanos - requests.headNanos() > timeoutMillis * NANOS_PER_MILLI;
    }

    /** Closes the connection if it is idle, as the host is stopping. */
    void closeIfIdle(long nowNanos) {
        boolean awaitsFirst =
                requests.requestCount() == 0
                        && idleTimeout.idleMillis(nowNanos) < FIRST_REQUEST_MILLIS;
        if (awaitsFirst || !isIdle()) {
            return;
        }
        receive();
        if (channel.isOpen() && isIdle()) {
            logClose(CloseReason.STOPPING, nowNanos);
            closeAfterFlush();
        }
    }

    /** Returns whether no request was received, also not in part, and all responses are written. */
    private boolean isIdle() {
        return !isBusy()
                && !inputClosed
                && pipelined.isEmpty()
                && !decoder.isReceiving()
                && bufferedBytes() == 0;
    }

    /**
     * Ends the connection, as the host stops serving; a request that has no response yet is
     * refused. The exchange of a request that was received whole has ended before.
     */
    void endOfService(long nowNanos) {
        if (!channel.isOpen()) {
            return;
        }
        if (pendingStart != null) {
            acceptor.refuse(pendingStart);
        } else if (!isBusy() && !inputClosed && decoder.isReceiving()) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "leaving", 0);
        } else if (!isBusy() && !inputClosed) {
            logClose(CloseReason.STOPPING, nowNanos);
            closeAfterFlush();
        }
    }

    private void logClose(CloseReason reason, long nowNanos) {
        acceptor.closing(
                reason,
                "caller=%s requests=%d idle_ms=%d limit_ms=%d"
                        .formatted(
                                channel.remoteAddress(),
                                requests.requestCount(),
                                idleTimeout.idleMillis(nowNanos),
                                idleTimeout.longestMillis()));
    }

    /** Stops reading, and closes once all responses are written. */
    private void closeAfterFlush() {
        inputClosed = true;
        channel.config().setAutoRead(false);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes a whole response of this host's own. */
    void respond(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
        respond(status, headers, bytes, BodyEnd.LENGTH);
    }

    /**
     * Writes a response that was received whole, as far as its server stated its end. Where only
     * the end of a connection ended it, the caller is told no more than that.
     *
     * @param serverEnd how the server's response told where its body ends
     */
    void respond(HttpResponseStatus status, HttpHeaders headers, byte[] bytes, BodyEnd serverEnd) {
        keepAlive &= serverEnd.isStated();
        boolean keep = prepareHeaders(headers);
        if (!serverEnd.isStated()) {
            resetUnlessClosed(true);
        }
        boolean statesLength = headOnly && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        if (serverEnd.isStated() && !statesLength) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        ByteBuf content = headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes);
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        content,
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        finish(response, keep);
        acceptor.buffers().update(this);
    }

    /**
     * Writes the head of a streamed response.
     *
     * @param serverEnd how the server's response tells where its body ends
     * @return how the caller is told the end of the stream
     */
    BodyEnd beginStream(HttpResponseStatus status, HttpHeaders headers, BodyEnd serverEnd) {
        boolean chunked = chunkedResponse && serverEnd.isStated();
        keepAlive &= chunked;
        keepAlive = prepareHeaders(headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (chunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            resetUnlessClosed(true);
        }
        writeHead(status, headers);
        return chunked ? BodyEnd.LAST_CHUNK : BodyEnd.CONNECTION;
    }

    private void writeHead(HttpResponseStatus status, HttpHeaders headers) {
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    void writeStreamPart(byte[] bytes) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        CallerBuffers buffers = acceptor.buffers();
        buffers.update(this);
        if (exchange != null && !channel.isWritable() && !buffers.mayBuffer(this)) {
            exchange.callerWritable(false);
        }
    }

    void endStream() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT, keepAlive);
    }

    /** Resets the connection, so that the truncated response does not look complete. */
    void abort() {
        exchange = null;
        requestBytes = 0;
        resetUnlessClosed(true);
        channel.close();
    }

    /**
     * Sets whether the connection is reset where it ends without an orderly close, also with this
     * process. Such an end would pass for that of a response which states no other.
     */
    private void resetUnlessClosed(boolean reset) {
        if (channel.isOpen()) {
            resets = reset;
            channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : NO_LINGER);
        }
    }

    /** Closes the connection after its last response, which was written or not. */
    private void end(boolean written) {
        if (written && resets) {
            resetUnlessClosed(false);
        }
        channel.close();
    }

    private boolean prepareHeaders(HttpHeaders headers) {
        boolean keep = keepAlive && !acceptor.isLeaving();
        if (keep) {
            stateIdleTimeout(headers);
        } else {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return keep;
    }

    /**
     * Tells the caller for how long it may leave the connection idle. A limit may change while it
     * does, and reach the caller and this host at different times.
     */
    private void stateIdleTimeout(HttpHeaders headers) {
        statedIdleMillis = acceptor.limits().idleTimeoutMillis();
        long seconds = TimeUnit.MILLISECONDS.toSeconds(statedIdleMillis);
        if (seconds > 0) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
            headers.set(KEEP_ALIVE, "timeout=" + seconds);
        }
    }

    private void finish(HttpObject last, boolean keep) {
        exchange = null;
        requestBytes = 0;
        idleTimeout.begin(
                System.nanoTime(),
                Math.max(statedIdleMillis, acceptor.limits().idleTimeoutMillis()));
        if (!keep) {
            inputClosed = true;
            channel.writeAndFlush(last).addListener(done -> end(done.isSuccess()));
            return;
        }
        channel.writeAndFlush(last);
        channel.eventLoop().execute(this::next);
    }

    private void next() {
        while (!isBusy() && !inputClosed && !pipelined.isEmpty()) {
            read(pipelined.poll());
        }
        if (inputClosed || !channel.isOpen()) {
            return;
        }
        applyHeaderLimit(acceptor.limits().maxHeaderBytes());
        if (pipelined.size() <= MAX_PIPELINED_PARTS / 2) {
            channel.config().setAutoRead(true);
        }
    }
}

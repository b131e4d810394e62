package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
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
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.orioleshed.catalog.CallerLimits;
import org.orioleshed.model.Payload;

/**
 * One caller's connection: reads requests whole, one at a time, and writes their answers in order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Parts of later requests that are read while one is answered; more are left in the socket. */
    private static final int MAX_PARTS_AHEAD = 64;

    private final RequestAcceptor acceptor;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private HttpRequest head;
    private long headNanos;
    private long idleSinceNanos;
    private int requests;
    private Exchange exchange;
    private boolean keepAlive = true;
    private boolean closing;
    private boolean doneReading;
    private boolean chunkedAnswer;
    private boolean headOnly;

    CallerConnection(RequestAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceNanos = System.nanoTime();
        acceptor.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        acceptor.closed(this);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.callerLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.callerWritable(context.channel().isWritable());
        }
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
        HttpObject part = (HttpObject) message;
        if (doneReading) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (exchange != null) {
            ahead.add(part);
            if (ahead.size() > MAX_PARTS_AHEAD) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        read(part);
    }

    private void read(HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                refuseUnread(part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpRequest request) {
                begin(request);
            }
            if (part instanceof HttpContent content && head != null) {
                add(content.content(), part instanceof LastHttpContent);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void refuseUnread(Throwable cause) {
        HttpResponseStatus status =
                cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST;
        refuse(status, "unreadable");
    }

    private void begin(HttpRequest request) {
        headNanos = System.nanoTime();
        body.reset();
        if (!isPlain(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST, "framing");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > acceptor.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_length");
            return;
        }
        head = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        chunkedAnswer = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        headOnly = request.method().name().equals("HEAD");
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns whether nothing about the request's framing is in doubt. */
    private static boolean isPlain(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plainCoding =
                codings.isEmpty()
                        || (codings.size() == 1
                                && codings.getFirst().equalsIgnoreCase("chunked")
                                && request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        return plainCoding
                && request.uri().startsWith("/")
                && request.headers().getAll(HttpHeaderNames.HOST).size() == 1
                && request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
    }

    private void add(ByteBuf bytes, boolean last) {
        if (body.size() + bytes.readableBytes() > acceptor.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_bytes");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (last) {
            HttpRequest whole = head;
            head = null;
            CallerRequest request =
                    new CallerRequest(
                            whole.method(),
                            whole.uri(),
                            whole.headers(),
                            Payload.of(body.toByteArray()),
                            headNanos,
                            ++requests);
            body.reset();
            exchange = acceptor.exchange(this, request);
            exchange.start();
        }
    }

    /** Answers a request that is not read to its end, and closes. */
    private void refuse(HttpResponseStatus status, String reason) {
        doneReading = true;
        head = null;
        keepAlive = false;
        chunkedAnswer = true;
        acceptor.refused(status.code(), reason);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        answer(status, headers, new byte[0]);
    }

    /** Closes a connection that was idle, or slow to send a request, for too long. */
    void checkIdle(long nowNanos, CallerLimits limits) {
        if (exchange != null || doneReading) {
            return;
        }
        long since = head != null ? headNanos : idleSinceNanos;
        long allowedMillis =
                head != null
                        ? limits.headerTimeoutMillis() + limits.idleTimeoutMillis()
                        : limits.idleTimeoutMillis();
        if (nowNanos - since > allowedMillis * 1_000_000) {
            channel.close();
        }
    }

    /** Closes after the present answer, or now if the connection is idle. */
    void closeSoon() {
        closing = true;
        if (exchange == null && head == null && ahead.isEmpty()) {
            closeWritten();
        }
    }

    /** Reads nothing more, and closes when what was answered is written. */
    private void closeWritten() {
        doneReading = true;
        channel.config().setAutoRead(false);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes a whole answer. */
    void answer(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
        boolean keep = prepare(headers);
        if (!headOnly || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
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
    }

    /** Writes the head of a stream. */
    void beginStream(HttpResponseStatus status, HttpHeaders headers) {
        keepAlive = prepare(headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (chunkedAnswer) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keepAlive = false;
        }
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    void streamPart(byte[] bytes) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    void endStream() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT, keepAlive && !closing);
    }

    /** Ends the connection so that the answer does not look complete. */
    void breakOff() {
        exchange = null;
        channel.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private boolean prepare(HttpHeaders headers) {
        boolean keep = keepAlive && !closing && !acceptor.isLeaving();
        if (!keep) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return keep;
    }

    private void finish(HttpObject last, boolean keep) {
        exchange = null;
        if (!keep) {
            channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.writeAndFlush(last);
        idleSinceNanos = System.nanoTime();
        channel.eventLoop().execute(this::next);
    }

    private void next() {
        while (exchange == null && !doneReading && !ahead.isEmpty()) {
            read(ahead.poll());
        }
        if (!doneReading && ahead.size() <= MAX_PARTS_AHEAD / 2 && channel.isOpen()) {
            channel.config().setAutoRead(true);
        }
    }
}

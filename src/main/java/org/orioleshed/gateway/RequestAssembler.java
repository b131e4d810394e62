package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.orioleshed.model.Payload;

/** Assembles the requests of one connection from their decoded parts, one after the other. */
final class RequestAssembler {
    private final RequestAcceptor acceptor;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Null unless a request was received in part. */
    private HttpRequest head;

    private long headNanos;
    private int requestCount;

    /** What a part of a request leads to. */
    sealed interface Result {}

    /** A request's head was received. */
    record Begun(HttpRequest head) implements Result {}

    /** A part of a body was received, or of a request that was rejected. */
    record Incomplete() implements Result {}

    /** A request was received whole. */
    record Whole(CallerRequest request) implements Result {}

    /**
     * A request must not be served.
     *
     * @param reason the reason, for the log
     */
    record Rejected(HttpResponseStatus status, String reason) implements Result {}

    RequestAssembler(RequestAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /** Returns whether a request's head was received, and not yet all of its body. */
    boolean hasHead() {
        return head != null;
    }

    /** Returns when the last head was received, in nanoseconds on the monotonic clock. */
    long headNanos() {
        return headNanos;
    }

    /** Returns the number of requests received whole. */
    int requestCount() {
        return requestCount;
    }

    /** Returns the size of the body received so far, in bytes. */
    long bodyBytes() {
        return body.size();
    }

    /** Forgets the request that was received in part. */
    void drop() {
        head = null;
        body.reset();
    }

    /** Adds the next part of a request; the caller releases it. */
    Result add(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return rejectUndecodable(part.decoderResult().cause());
        }
        if (part instanceof HttpRequest request) {
            return begin(request);
        }
        if (part instanceof HttpContent content && head != null) {
            return add(content.content(), part instanceof LastHttpContent);
        }
        return new Incomplete();
    }

    private Rejected reject(HttpResponseStatus status, String reason) {
        head = null;
        return new Rejected(status, reason);
    }

    private Rejected rejectUndecodable(Throwable cause) {
        HttpResponseStatus status =
                cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST;
        return reject(status, "unreadable");
    }

    private Result begin(HttpRequest request) {
        headNanos = System.nanoTime();
        body.reset();
        if (!hasUnambiguousFraming(request)) {
            return reject(HttpResponseStatus.BAD_REQUEST, "framing");
        }
        if (HttpUtil.getContentLength(request, 0L) > acceptor.limits().maxBodyBytes()) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_length");
        }
        if (!acceptor.buffers().mayRead(HttpUtil.getContentLength(request, 0L))) {
            return reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "memory");
        }
        head = request;
        return new Begun(request);
    }

    /** Returns whether the request's framing is unambiguous. */
    private static boolean hasUnambiguousFraming(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean validCoding =
                codings.isEmpty()
                        || (codings.size() == 1
                                && codings.getFirst().equalsIgnoreCase("chunked")
                                && request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        return validCoding
                && request.uri().startsWith("/")
                && request.headers().getAll(HttpHeaderNames.HOST).size() == 1
                && request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
    }

    private Result add(ByteBuf bytes, boolean last) {
        if (body.size() + bytes.readableBytes() > acceptor.limits().maxBodyBytes()) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_bytes");
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        return last ? complete() : new Incomplete();
    }

    private Whole complete() {
        CallerRequest request =
                new CallerRequest(
                        head.method(),
                        head.uri(),
                        head.headers(),
                        Payload.of(body.toByteArray()),
                        headNanos,
                        ++requestCount);
        head = null;
        // A reset would keep the buffer for as long as the connection.
        body = new ByteArrayOutputStream();
        return new Whole(request);
    }
}

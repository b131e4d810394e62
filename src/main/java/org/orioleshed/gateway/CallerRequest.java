package org.orioleshed.gateway;

import com.google.common.hash.Hashing;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.orioleshed.model.Payload;

/**
 * A caller's request, read whole.
 *
 * @param method the HTTP method
 * @param uri the path and query, as sent
 * @param headers the header fields, as sent
 * @param body the body, with any transfer coding removed
 * @param arrivedNanos when the head was read, in nanoseconds on the monotonic clock
 * @param number the position of the request on its connection, from 1
 */
record CallerRequest(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        Payload body,
        long arrivedNanos,
        int number) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Returns the path without the query. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the host name that the caller used, without the port. */
    String hostName() {
        String host = headers.get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    /** Returns a fingerprint of the URI, the caller's key and the body. */
    long fingerprint(String key) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(uri)
                .putUnencodedChars(key)
                .putBytes(body.toBytes())
                .hash()
                .asLong();
    }

    /** Returns the request to send on, with other header fields, to which it adds the length. */
    FullHttpRequest withHeaders(HttpHeaders newHeaders) {
        byte[] bytes = body.toBytes();
        if (bytes.length > 0 || method.equals(HttpMethod.POST)) {
            newHeaders.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(bytes),
                newHeaders,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }

    long ageMillis(long nowNanos) {
        return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    }
}

package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
    String host() {
        String host = headers.get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    long ageMillis(long nowNanos) {
        return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    }
}

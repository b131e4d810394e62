package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.orioleshed.model.Payload;

/**
 * A request that was read whole.
 *
 * @param method its method
 * @param uri its path and query, as sent
 * @param headers its header fields, as sent
 * @param body its body, without transfer coding
 * @param arrivedNanos when its head was read, on the monotonic clock
 * @param number its number on the connection, 1 first
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

    long ageMillis(long nowNanos) {
        return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    }
}

package org.orioleshed.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** How a response tells where its body ends. */
public enum BodyEnd {
    /** Unknown, as no head was received. */
    UNKNOWN,

    /** By its status, or as the response to a HEAD request: there is no body. */
    NO_BODY,

    /** By its length. */
    LENGTH,

    /** By a last chunk. */
    LAST_CHUNK,

    /**
     * Only by the end of the connection, which does not tell a whole body from one that was broken
     * off.
     */
    CONNECTION;

    /**
     * Returns how a response tells where its body ends.
     *
     * @param headOnly whether it is a response to a HEAD request
     */
    public static BodyEnd of(HttpResponse response, boolean headOnly) {
        if (headOnly
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return LAST_CHUNK;
        }
        return HttpUtil.isContentLengthSet(response) ? LENGTH : CONNECTION;
    }

    /** Returns whether the end is stated, so that a response without it was broken off. */
    public boolean isStated() {
        return this != UNKNOWN && this != CONNECTION;
    }

    /** Returns the name for log lines. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}

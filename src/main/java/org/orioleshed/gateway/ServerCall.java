package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.orioleshed.http.BodyEnd;

/** Receives the response to a request that is sent to a server; called on the data thread. */
interface ServerCall {
    /** Called when no connection could be opened; nothing was sent. */
    void unreachable(String detail);

    /**
     * Returns whether the request is to be sent, when a connection for it was opened; called right
     * before it is sent. If not, the call ends without a further notification.
     */
    default boolean confirmSend() {
        return true;
    }

    /** Takes the server state stated in any response on the connection, also to other requests. */
    void noticed(ResponseHeaders responseHeaders);

    /**
     * Takes the head of the response.
     *
     * @param bodyEnd how the response tells where its body ends
     */
    void head(HttpResponse response, ResponseHeaders responseHeaders, BodyEnd bodyEnd);

    /** Takes a part of the body; the buffer remains owned by the caller of this method. */
    void content(ByteBuf bytes);

    /** Called when the response is complete. */
    void end();

    /** Called when no complete response will arrive; the request may have run. */
    void broken(String detail);
}

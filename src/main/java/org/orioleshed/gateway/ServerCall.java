package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears what comes of a request that is sent to a server; called on the data thread. */
interface ServerCall {
    /** No connection came about; nothing was sent. */
    void unreachable(String detail);

    /** What any answer on the connection says of its server, whichever request it answers. */
    void noticed(ResponseHeaders responseHeaders);

    /** The head of the answer. */
    void head(HttpResponse response, ResponseHeaders responseHeaders);

    /** A part of the answer's body; the buffer is the caller's of this method. */
    void content(ByteBuf bytes);

    /** The answer is complete. */
    void end();

    /** The answer, if any, will not be completed; the request may have run. */
    void broken(String detail);
}

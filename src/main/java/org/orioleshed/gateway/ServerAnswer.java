package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.model.Payload;

/**
 * A server's response that was received whole, as far as the server stated its end.
 *
 * @param bodyEnd how the response told where its body ends
 */
record ServerAnswer(HttpResponse head, Payload body, BodyEnd bodyEnd) {
    /** Returns how a caller of the answer is told its end. */
    BodyEnd callerBodyEnd() {
        return bodyEnd.isStated() ? BodyEnd.LENGTH : BodyEnd.CONNECTION;
    }
}

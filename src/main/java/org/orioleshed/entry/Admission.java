package org.orioleshed.entry;

import org.orioleshed.model.Request;

/** The result of validating a caller's request. */
sealed interface Admission permits Admission.Admitted, BadRequest {
    /**
     * A valid request.
     *
     * @param request the request
     * @param streaming whether the caller requested a stream of server-sent events
     */
    record Admitted(Request request, boolean streaming) implements Admission {}
}

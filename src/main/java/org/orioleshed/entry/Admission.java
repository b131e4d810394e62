package org.orioleshed.entry;

import org.orioleshed.model.Request;

/** Whether a caller's request may go on to the decisions. */
sealed interface Admission permits Admission.Admitted, BadRequest {
    /**
     * The request passed all checks.
     *
     * @param request the request
     * @param streaming whether the caller wants the answer as a stream of events
     */
    record Admitted(Request request, boolean streaming) implements Admission {}
}

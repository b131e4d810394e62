package org.orioleshed.request;

import org.orioleshed.model.Request;

/** One caller who waits for the answer of an execution. */
final class Caller {
    final Request request;

    /** Tokens that the caller's connection took. */
    int taken;

    Caller(Request request) {
        this.request = request;
    }
}

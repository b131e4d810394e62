package org.orioleshed.request;

import org.orioleshed.model.Request;

/** A caller that waits for the outcome of a request. */
final class Caller {
    final Request request;

    int consumedTokens;

    Caller(Request request) {
        this.request = request;
    }
}

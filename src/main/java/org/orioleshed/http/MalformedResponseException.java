package org.orioleshed.http;

/** Thrown where received bytes are not in the message syntax of a response. */
public final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param detail what is malformed; contains nothing that was received
     */
    MalformedResponseException(String detail) {
        super(detail);
    }
}

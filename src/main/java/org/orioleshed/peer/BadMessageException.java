package org.orioleshed.peer;

/**
 * Thrown for bytes from a peer that are no valid message. The link drops the message and counts it.
 */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes one with a sentence on what is wrong. */
    public BadMessageException(String message) {
        super(message);
    }

    /** Makes one for an error of the codec library. */
    public BadMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}

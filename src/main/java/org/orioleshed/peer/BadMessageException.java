package org.orioleshed.peer;

/** Thrown when bytes from a peer are not a valid message. The link drops and counts the message. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the bytes
     */
    public BadMessageException(String message) {
        super(message);
    }

    /**
     * Creates an exception for an error of the codec library.
     *
     * @param message what is wrong with the bytes
     * @param cause the error
     */
    public BadMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}

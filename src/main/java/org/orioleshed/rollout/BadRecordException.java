package org.orioleshed.rollout;

/** Thrown when a stored value is not a valid rollout record. */
public final class BadRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.orioleshed.rollout;

/** Thrown for a value of the store that is no valid move record. */
public final class BadRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes one with a sentence on what is wrong. */
    BadRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.orioleshed.catalog;

/** Thrown if an entry of the store can't be decoded; the message names the field and the fault. */
public final class BadCatalogException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the fault
     */
    public BadCatalogException(String message) {
        super(message);
    }

    /**
     * Creates an exception for an error of the codec library.
     *
     * @param message the fault
     * @param cause the error
     */
    public BadCatalogException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.orioleshed.catalog;

/** What the store holds can't be read; the message says which field, and why. */
public final class BadCatalogException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes one with a sentence on what is wrong. */
    public BadCatalogException(String message) {
        super(message);
    }

    /** Makes one for an error of the codec library. */
    public BadCatalogException(String message, Throwable cause) {
        super(message, cause);
    }
}

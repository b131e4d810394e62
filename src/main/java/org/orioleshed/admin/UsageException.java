package org.orioleshed.admin;

/** Signals invalid command line arguments. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}

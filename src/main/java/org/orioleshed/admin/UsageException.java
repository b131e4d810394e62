package org.orioleshed.admin;

/** Thrown for arguments of the command line that make no sense. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}

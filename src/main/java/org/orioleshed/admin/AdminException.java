package org.orioleshed.admin;

/** Signals that a call of the admin API is rejected with an {@link AdminError}. */
final class AdminException extends Exception {
    private static final long serialVersionUID = 1L;

    private final AdminError error;

    AdminException(AdminError error, String message) {
        super(message);
        this.error = error;
    }

    AdminError error() {
        return error;
    }
}

package org.orioleshed.admin;

/** Thrown inside the admin API for a call that is turned down at the door. */
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

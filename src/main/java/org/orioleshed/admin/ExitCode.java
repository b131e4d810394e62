package org.orioleshed.admin;

/** Exit codes of {@code orioleshed-admin}. */
enum ExitCode {
    /** Success. */
    OK(0),
    /** The entry host failed or could not be reached. */
    FAILED(1),
    /** Invalid arguments. */
    USAGE(2),
    /** The input is invalid; nothing has changed. */
    REJECTED(3),
    /** Conflict with a concurrent change; nothing has changed. */
    CONFLICT(4),
    /** Not found. */
    NOT_FOUND(5),
    /** The key is unknown, or its role does not allow it. */
    DENIED(6),
    /** The store is unavailable; nothing has changed. */
    STORE_AWAY(7),
    /** The response was lost; a change may still take effect. */
    IN_DOUBT(8);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** Returns the exit code for an HTTP status. */
    static ExitCode of(int status) {
        return switch (status) {
            case 200 -> OK;
            case 400, 405, 413, 422 -> REJECTED;
            case 401, 403 -> DENIED;
            case 404 -> NOT_FOUND;
            case 409 -> CONFLICT;
            case 503 -> STORE_AWAY;
            case 504 -> IN_DOUBT;
            default -> FAILED;
        };
    }
}

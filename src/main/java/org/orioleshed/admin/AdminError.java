package org.orioleshed.admin;

/** The errors of the admin API, each with its HTTP status and stable code. */
enum AdminError {
    /** The body, a parameter or a header is malformed. */
    BAD_INPUT(400, "bad_input"),
    /** The operator key is missing or unknown. */
    UNAUTHORIZED(401, "unauthorized"),
    /** The operator's role does not allow the call. */
    FORBIDDEN(403, "forbidden"),
    /** The path or the object does not exist. */
    NOT_FOUND(404, "not_found"),
    /** The path does not support this method. */
    BAD_METHOD(405, "bad_method"),
    /** The change conflicts with a concurrent one. */
    CONFLICT(409, "conflict"),
    /** The body is too long. */
    TOO_LARGE(413, "too_large"),
    /** The input is well formed but invalid. */
    REJECTED(422, "rejected"),
    /** An unexpected failure of the entry host. */
    INTERNAL(500, "internal"),
    /** The store is unavailable, or too many calls are open. */
    STORE_AWAY(503, "store_away"),
    /** The result is unknown: no answer in time from the store or the entry host. */
    UNKNOWN(504, "unknown");

    private final int status;
    private final String code;

    AdminError(int status, String code) {
        this.status = status;
        this.code = code;
    }

    int status() {
        return status;
    }

    String code() {
        return code;
    }
}

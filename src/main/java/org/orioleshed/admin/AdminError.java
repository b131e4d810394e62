package org.orioleshed.admin;

/** Why the admin API turns a call down at the door. */
enum AdminError {
    /** The body, a parameter or a header is wrong. */
    BAD_INPUT(400, "bad_input"),
    /** No operator's key, or an unknown one. */
    UNAUTHORIZED(401, "unauthorized"),
    /** The operator's role does not allow it. */
    FORBIDDEN(403, "forbidden"),
    /** There is no such thing. */
    NOT_FOUND(404, "not_found"),
    /** The path does not take this method. */
    BAD_METHOD(405, "bad_method"),
    /** Another operator was faster. */
    CONFLICT(409, "conflict"),
    /** The body is too long. */
    TOO_LARGE(413, "too_large"),
    /** The input is well formed but not valid. */
    REJECTED(422, "rejected"),
    /** The entry host failed. */
    INTERNAL(500, "internal"),
    /** The store is away. */
    STORE_AWAY(503, "store_away"),
    /** The store's answer was lost. */
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

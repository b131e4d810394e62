package org.orioleshed.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.orioleshed.model.Outcome;

/**
 * An error response to a caller.
 *
 * @param status the HTTP status
 * @param code the stable code
 * @param ran {@code not_run}, {@code in_doubt} or {@code failed}
 * @param message the explanation for people
 * @param retryAfterMillis the delay before a retry, in milliseconds; negative if a retry is useless
 */
record CallerError(int status, String code, String ran, String message, long retryAfterMillis) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long NO_RETRY = -1;

    /** Returns the error for an invalid request. */
    static CallerError of(BadRequest bad) {
        return new CallerError(bad.status(), bad.code(), "not_run", bad.message(), NO_RETRY);
    }

    /** Returns the error of a host that has not received the fleet's settings. */
    static CallerError noSettings(long retryAfterMillis) {
        return new CallerError(
                SERVICE_UNAVAILABLE,
                "no_settings",
                "not_run",
                "this host has not received the settings yet",
                retryAfterMillis);
    }

    /** Returns the error for a request that was not run. */
    static CallerError of(Outcome.NotRun notRun) {
        int status =
                notRun.reason() == Outcome.NotRunReason.WORKSPACE_LIMIT
                        ? TOO_MANY_REQUESTS
                        : SERVICE_UNAVAILABLE;
        return new CallerError(
                status,
                code(notRun.reason()),
                "not_run",
                "the request did not run",
                notRun.retryAfterMillis());
    }

    /** Returns the error for a request that ran and failed. */
    static CallerError of(Outcome.Failed failed) {
        int status = failed.reason() == Outcome.FailReason.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        return new CallerError(status, code(failed.reason()), "failed", failed.detail(), NO_RETRY);
    }

    /** Returns the error for a request that may or may not have run. */
    static CallerError of(Outcome.InDoubt inDoubt) {
        return new CallerError(GATEWAY_TIMEOUT, "in_doubt", "in_doubt", inDoubt.detail(), NO_RETRY);
    }

    String json() {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", code);
        error.put("ran", ran);
        error.put("message", message);
        if (retryAfterMillis >= 0) {
            error.put("retryAfterMillis", retryAfterMillis);
        }
        return root.toString();
    }

    private static String code(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}

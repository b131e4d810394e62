package org.orioleshed.gateway;

/**
 * Why a relay did not run a request that another host forwarded to it.
 *
 * @param kind the reason
 * @param charged whether the request was charged to its quota
 * @param retryAfterMillis when the caller should retry, in milliseconds; negative if not stated
 */
public record RelayRefusal(Kind kind, boolean charged, long retryAfterMillis) {
    /** The refusal of a relay that stated no reason. */
    static final RelayRefusal UNSTATED = new RelayRefusal(Kind.BUSY, false, -1);

    /** The reason of a refusal. */
    public enum Kind {
        /** The relay could not serve the request now; another relay may. */
        BUSY,
        /** The relay can't reach the pool either. */
        UNREACHABLE,
        /** The request was refused as it would be on any host. */
        REFUSED
    }
}

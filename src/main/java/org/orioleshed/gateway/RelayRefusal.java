package org.orioleshed.gateway;

/**
 * Why a relay did not run a request that another host forwarded to it.
 *
 * @param kind the reason
 * @param retryAfterMillis when the caller should retry, in milliseconds; negative if not stated
 */
public record RelayRefusal(Kind kind, long retryAfterMillis) {
    /** The reason of a refusal. */
    public enum Kind {
        /** The relay accepts no more forwarded requests now; another relay may. */
        BUSY,
        /** The relay reaches no server either. */
        UNREACHABLE,
        /** The request was refused as it would be on any host. */
        REFUSED
    }
}

package org.orioleshed.model;

/**
 * A request that passed the checks at the door of an entry host.
 *
 * @param id the request's own id
 * @param key the caller's idempotency key, made up by the host when the caller gave none
 * @param route the route asked for
 * @param tier the tier of urgency
 * @param deadlineNanos the caller's deadline on the accepting host's monotonic clock
 * @param arrivedNanos when the request (or its first sending) arrived, on the same clock
 * @param fingerprint the digest of the content
 * @param work what is asked for
 * @param body the body to hand to the backend server
 */
public record Request(
        RequestId id,
        RequestKey key,
        RouteId route,
        Tier tier,
        long deadlineNanos,
        long arrivedNanos,
        Fingerprint fingerprint,
        Work work,
        Payload body) {
    /** Returns the workspace that the caller's key belongs to. */
    public WorkspaceId workspace() {
        return key.workspace();
    }
}

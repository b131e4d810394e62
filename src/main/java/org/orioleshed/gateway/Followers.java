package org.orioleshed.gateway;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.HostId;

/**
 * The hosts that follow this one as the primary. Each follower lends its part of all quotas to one
 * host only, so the parts granted by two concurrent primaries add up to no more than the whole.
 */
final class Followers {
    /** The interval of follow messages. */
    static final long FOLLOW_INTERVAL_NANOS = 250_000_000L;

    /** Tolerates two consecutive follow messages that are lost or late. */
    private static final long EXPIRY_NANOS = 3 * FOLLOW_INTERVAL_NANOS;

    private final Map<HostId, Long> lastFollowNanos = new HashMap<>();

    /** Takes a follow message, or a request that serves as one. */
    void refresh(HostId host, long nowNanos) {
        lastFollowNanos.put(host, nowNanos);
    }

    /** Removes a host that died. */
    void remove(HostId host) {
        lastFollowNanos.remove(host);
    }

    /** Returns the number of followers. */
    int count(long nowNanos) {
        lastFollowNanos.values().removeIf(last -> nowNanos - last > EXPIRY_NANOS);
        return lastFollowNanos.size();
    }
}

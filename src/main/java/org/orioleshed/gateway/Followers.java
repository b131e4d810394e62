package org.orioleshed.gateway;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.HostId;

/**
 * The hosts that look to this one as the primary. Each lends it its part of all quotas, and lends
 * it to one host only, so the parts that two primaries give out add up to no more than the whole.
 */
final class Followers {
    /** A host says at this interval whom it follows. */
    static final long TELL_NANOS = 250_000_000L;

    /** Two words in a row may be lost or late. */
    private static final long LAPSE_NANOS = 3 * TELL_NANOS;

    private final Map<HostId, Long> heardNanos = new HashMap<>();

    /** A host follows this one. */
    void heard(HostId host, long nowNanos) {
        heardNanos.put(host, nowNanos);
    }

    /** A host is gone. */
    void gone(HostId host) {
        heardNanos.remove(host);
    }

    /** Returns how many follow. */
    int count(long nowNanos) {
        heardNanos.values().removeIf(heard -> nowNanos - heard > LAPSE_NANOS);
        return heardNanos.size();
    }
}

package org.orioleshed.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.model.HostId;

/**
 * Decides whether this host watches the store. Two hosts of a failure domain do, so that store
 * calls do not grow with the fleet. They report when the store last confirmed their copy; a host
 * takes over from those before it whose last confirmation is too old, whatever the reason.
 */
final class WatcherElection {
    private static final int WATCHERS_PER_DOMAIN = 2;

    private final WatchTiming timing;
    private final Map<HostId, Long> confirmedNanos = new HashMap<>();

    WatcherElection(WatchTiming timing) {
        this.timing = timing;
    }

    /**
     * Takes the report of a host that watches the store.
     *
     * @param nanos when the store last confirmed that host's copy, by this host's monotonic clock
     */
    void confirmed(HostId host, long nanos) {
        confirmedNanos.merge(host, nanos, (one, other) -> one - other > 0 ? one : other);
    }

    /**
     * Returns whether this host watches the store.
     *
     * @param before the hosts of its failure domain that watch rather than it; one that is new
     *     among them has as long to report as one that just did
     */
    boolean watches(Collection<HostId> before, long nowNanos) {
        confirmedNanos.keySet().retainAll(before);
        before.forEach(host -> confirmedNanos.putIfAbsent(host, nowNanos));
        int rank = Math.max(0, before.size() - WATCHERS_PER_DOMAIN);
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(timing.takeOverMillis(rank));
        long current =
                confirmedNanos.values().stream().filter(it -> nowNanos - it <= limitNanos).count();
        return current < WATCHERS_PER_DOMAIN;
    }
}

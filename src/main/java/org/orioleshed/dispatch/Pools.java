package org.orioleshed.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;

/** The pools of a scheduler, by their services. */
final class Pools {
    private final Map<ServiceId, PoolState> pools = new HashMap<>();
    private final PacedServers paced;

    Pools(PacedServers paced) {
        this.paced = paced;
    }

    /** Returns the pool of a service; creates an empty one if there is none. */
    PoolState get(ServiceId service) {
        return pools.computeIfAbsent(service, key -> new PoolState(paced));
    }

    Collection<PoolState> all() {
        return Collections.unmodifiableCollection(pools.values());
    }

    /** Returns the number of queued requests. */
    int waiting() {
        return pools.values().stream().mapToInt(PoolState::waiting).sum();
    }

    /** Returns the number of servers that are paced. */
    int pacedServers() {
        return pools.values().stream().mapToInt(pool -> pool.servers().paced()).sum();
    }

    /** Returns the server with this id, in whichever pool it is. */
    Stream<ServerState> servers(ServerId id) {
        return pools.values().stream().flatMap(pool -> pool.servers().get(id).stream());
    }

    /** Adds or updates a server, and removes it from the pools of other services. */
    boolean put(PoolServer server, long nowNanos) {
        PoolState pool = get(server.service());
        for (PoolState other : pools.values()) {
            if (other != pool) {
                other.servers().remove(server.id());
            }
        }
        return pool.servers().put(server, nowNanos);
    }

    /** Removes a queued request; returns it, or empty if it is not queued. */
    Optional<QueuedRequest> removeQueued(RunKey run) {
        for (PoolState pool : pools.values()) {
            Optional<QueuedRequest> queued = pool.queue().remove(run);
            if (queued.isPresent()) {
                return queued;
            }
        }
        return Optional.empty();
    }

    /** Removes the queued requests of a host. */
    void removeQueued(HostId host) {
        for (PoolState pool : pools.values()) {
            List<QueuedRequest> ofHost =
                    pool.queue().all().stream()
                            .filter(queued -> queued.run().origin().equals(host))
                            .toList();
            ofHost.forEach(queued -> pool.queue().remove(queued.run()));
        }
    }

    /** Returns the most recent rollout of each pool, with its outcome so far. */
    List<RolloutView> rollouts() {
        return pools.values().stream().flatMap(pool -> pool.rolloutView().stream()).toList();
    }
}

package org.orioleshed.dispatch;

import java.util.List;
import java.util.Map;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/** What can happen to a scheduler. */
public sealed interface DispatchEvent {
    /** A request needs a server. */
    record PlacementRequested(RunKey run, PlacementRequest request) implements DispatchEvent {}

    /** A request needs none any more. */
    record Withdrawn(RunKey run) implements DispatchEvent {}

    /** A request was placed by another scheduler. */
    record Placed(RunKey run, PlacementRequest request, ServerId server) implements DispatchEvent {}

    /**
     * A run's first event came.
     *
     * @param run the run
     * @param firstMillis the time since it was sent, in milliseconds
     * @param limit what the answer says of how many requests its server takes
     */
    record First(RunKey run, long firstMillis, StatedLimit limit) implements DispatchEvent {
        /** Makes one that says nothing of the server's limit. */
        public First(RunKey run, long firstMillis) {
            this(run, firstMillis, StatedLimit.UNKNOWN);
        }
    }

    /** A run ended. */
    record Ended(RunKey run, RunReport report) implements DispatchEvent {}

    /** A host is gone, and its runs with it. */
    record HostGone(HostId host) implements DispatchEvent {}

    /**
     * A server told a host in an answer that it leaves.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     */
    record ServerLeaving(ServerId server, long startMillis) implements DispatchEvent {}

    /**
     * A server told a host some time ago how many requests it takes.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     * @param limit how many
     */
    record ServerLimited(ServerId server, long startMillis, StatedLimit.Rate limit)
            implements DispatchEvent {}

    /**
     * What a host saw of requests that crash servers, told to a primary that begins.
     *
     * @param host the host
     * @param crashes how many crashes each content caused, by its fingerprint
     */
    record CrashesReported(HostId host, Map<Long, Integer> crashes) implements DispatchEvent {
        /** Copies the map. */
        public CrashesReported {
            crashes = Map.copyOf(crashes);
        }
    }

    /**
     * What a host saw of a rollout, told to a primary that begins.
     *
     * @param host the host
     * @param order the rollout
     * @param tallies what it saw of each server
     */
    record RolloutReported(HostId host, RolloutOrder order, List<RolloutTally> tallies)
            implements DispatchEvent {
        /** Copies the list. */
        public RolloutReported {
            tallies = List.copyOf(tallies);
        }
    }

    /** The servers in force. */
    record ServersChanged(List<PoolServer> servers) implements DispatchEvent {
        /** Copies the list. */
        public ServersChanged {
            servers = List.copyOf(servers);
        }
    }

    /** The pools and quotas in force. */
    record LimitsChanged(Map<ServiceId, Pool> pools, Map<WorkspaceId, Quota> quotas)
            implements DispatchEvent {
        /** Copies the maps. */
        public LimitsChanged {
            pools = Map.copyOf(pools);
            quotas = Map.copyOf(quotas);
        }
    }

    /**
     * The parts of all servers' places and of all quotas that this scheduler may give out.
     *
     * @param places from 0 (exclusive) to 1
     * @param quota from 0 (exclusive) to 1
     */
    record ShareChanged(double places, double quota) implements DispatchEvent {}

    /**
     * The primary before this one has stopped giving out quotas and hands over what is left.
     *
     * @param parts the part of its burst that each workspace has left: at most 1, and negative for
     *     a debt
     */
    record QuotasHanded(Map<WorkspaceId, Double> parts) implements DispatchEvent {
        /** Copies the map and checks the parts. */
        public QuotasHanded {
            parts = Map.copyOf(parts);
            if (parts.values().stream().anyMatch(part -> !Double.isFinite(part) || part > 1)) {
                throw new IllegalArgumentException("parts must be at most 1");
            }
        }
    }

    /**
     * An order to roll out a version of a pool.
     *
     * @param order the order
     * @param seenNanos when this host saw it, on its monotonic clock
     * @param evidenceHere whether this scheduler sees the pool's answers and may use the new
     *     version
     */
    record RolloutOrdered(RolloutOrder order, long seenNanos, boolean evidenceHere)
            implements DispatchEvent {}

    /** The recorded outcome of a rollout. */
    record RolloutSettled(RolloutOrder order, RolloutOutcome outcome) implements DispatchEvent {}

    /** Time passed; comes at least every 20 ms while anything waits, and every 100 ms else. */
    record Tick() implements DispatchEvent {}
}

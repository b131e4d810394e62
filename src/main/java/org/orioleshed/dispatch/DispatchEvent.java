package org.orioleshed.dispatch;

import java.util.List;
import java.util.Map;
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/** What can happen to a scheduler. */
public sealed interface DispatchEvent {
    /** A request needs a server. */
    record Asked(RunKey run, Ask ask) implements DispatchEvent {}

    /** A request needs none any more. */
    record Withdrawn(RunKey run) implements DispatchEvent {}

    /** A request was placed by another scheduler. */
    record Placed(RunKey run, Ask ask, ServerId server) implements DispatchEvent {}

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
    record Ended(RunKey run, RunEnd end) implements DispatchEvent {}

    /** A host is gone, and its runs with it. */
    record HostGone(HostId host) implements DispatchEvent {}

    /**
     * A server told a host in an answer that it leaves.
     *
     * @param server the server
     * @param bornMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#bornMillis()}
     */
    record ServerLeaving(ServerId server, long bornMillis) implements DispatchEvent {}

    /**
     * A server told a host some time ago how many requests it takes.
     *
     * @param server the server
     * @param bornMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#bornMillis()}
     * @param limit how many
     */
    record ServerLimited(ServerId server, long bornMillis, StatedLimit.Rate limit)
            implements DispatchEvent {}

    /**
     * What a host saw of requests that crash servers, told to a home that begins.
     *
     * @param host the host
     * @param crashes how many crashes each content caused, by its fingerprint
     */
    record CrashesRecalled(HostId host, Map<Long, Integer> crashes) implements DispatchEvent {
        /** Copies the map. */
        public CrashesRecalled {
            crashes = Map.copyOf(crashes);
        }
    }

    /**
     * What a host saw of a move, told to a home that begins.
     *
     * @param host the host
     * @param order the move
     * @param tallies what it saw of each server
     */
    record MoveRecalled(HostId host, MoveOrder order, List<MoveTally> tallies)
            implements DispatchEvent {
        /** Copies the list. */
        public MoveRecalled {
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
     * The home before this one has stopped giving out quotas and hands over what is left.
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
     * An order to move a pool between versions.
     *
     * @param order the order
     * @param seenNanos when this host saw it, on its monotonic clock
     * @param evidenceHere whether this scheduler sees the pool's answers and may use the new
     *     version
     */
    record MoveOrdered(MoveOrder order, long seenNanos, boolean evidenceHere)
            implements DispatchEvent {}

    /** The recorded outcome of a move. */
    record MoveSettled(MoveOrder order, MoveOutcome outcome) implements DispatchEvent {}

    /** Time passed; comes at least every 20 ms while anything waits, and every 100 ms else. */
    record Tick() implements DispatchEvent {}
}

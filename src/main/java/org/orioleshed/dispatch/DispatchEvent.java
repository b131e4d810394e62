package org.orioleshed.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.Suspect;

/** An input of a scheduler. */
public sealed interface DispatchEvent {
    /** A request is to be placed on a server. */
    record PlacementRequested(RunKey run, PlacementRequest request) implements DispatchEvent {}

    /** A request no longer needs a server. */
    record Withdrawn(RunKey run) implements DispatchEvent {}

    /** A request was placed by another scheduler. */
    record Placed(RunKey run, PlacementRequest request, ServerId server) implements DispatchEvent {}

    /**
     * A run produced its first event.
     *
     * @param run the run
     * @param firstMillis the time from sending the request to its first event, in milliseconds
     * @param limit the rate limit that the server stated in the answer
     * @param brittle the rejections per second above which the server crashes, as it stated in the
     *     answer
     */
    record First(RunKey run, long firstMillis, StatedLimit limit, StatedLimit brittle)
            implements DispatchEvent {
        /** Makes an event of an answer that is not known to state a limit. */
        public First(RunKey run, long firstMillis) {
            this(run, firstMillis, StatedLimit.UNKNOWN);
        }

        /** Makes an event of an answer that is not known to state that the server is brittle. */
        public First(RunKey run, long firstMillis, StatedLimit limit) {
            this(run, firstMillis, limit, StatedLimit.UNKNOWN);
        }
    }

    /** A run ended. */
    record Ended(RunKey run, RunReport report) implements DispatchEvent {}

    /** A host is no longer live; its runs and queued requests are removed. */
    record HostGone(HostId host) implements DispatchEvent {}

    /**
     * A server stated in an answer that it is leaving.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     */
    record ServerLeaving(ServerId server, long startMillis) implements DispatchEvent {}

    /** A server stated something that limits what it may be sent. */
    sealed interface ServerNotice extends DispatchEvent {
        /** The server. */
        ServerId server();

        /** Which start of it, as {@link org.orioleshed.catalog.PoolServer#startMillis()}. */
        long startMillis();
    }

    /**
     * A host reports the rate limit that a server stated to it earlier.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     * @param limit the stated rate limit
     */
    record ServerLimited(ServerId server, long startMillis, StatedLimit.Rate limit)
            implements ServerNotice {}

    /**
     * A host reports that a server stated to it earlier to be brittle.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     * @param rejections the rejections per second above which it crashes
     */
    record ServerBrittle(ServerId server, long startMillis, StatedLimit.Rate rejections)
            implements ServerNotice {}

    /**
     * A server stated how much longer it is cold.
     *
     * @param server the server
     * @param startMillis which start of it, as {@link
     *     org.orioleshed.catalog.PoolServer#startMillis()}
     * @param leftMillis the stated time, in milliseconds; 0 if the server is not cold
     * @param ageMillis how long ago that was stated, in milliseconds
     * @param source where that was stated
     */
    record ServerCold(
            ServerId server, long startMillis, long leftMillis, long ageMillis, Source source)
            implements ServerNotice {
        /** Where a notice was stated. */
        public enum Source {
            /** The server's entry in the store. */
            ENTRY,
            /** An answer of the server, to any host. */
            ANSWER
        }
    }

    /** A server wrote on a watched run for longer than on one that crashes it. */
    record Survived(RunKey run) implements DispatchEvent {}

    /**
     * A host reports to a primary which crashes it observed and what it knows to be quarantined.
     *
     * @param host the host
     * @param report the report
     */
    record CrashesReported(HostId host, CrashReport report) implements DispatchEvent {}

    /**
     * The primary quarantined or released something.
     *
     * @param held what is quarantined
     * @param released what is no longer quarantined
     */
    record QuarantineAnnounced(List<CrashReport.Held> held, List<Suspect> released)
            implements DispatchEvent {
        /** Copies the lists. */
        public QuarantineAnnounced {
            held = List.copyOf(held);
            released = List.copyOf(released);
        }
    }

    /**
     * Whether this scheduler decides what is quarantined. A fallback does while no primary
     * responds.
     */
    record QuarantineDuty(boolean decides) implements DispatchEvent {}

    /** An operator released something that was quarantined. */
    record ReleaseOrdered(Suspect suspect) implements DispatchEvent {}

    /**
     * A host reports the evidence of a rollout that it observed to a new primary.
     *
     * @param host the host
     * @param order the order of the rollout
     * @param tallies the evidence by server and route
     */
    record RolloutReported(HostId host, RolloutOrder order, List<RolloutTally> tallies)
            implements DispatchEvent {
        /** Copies the list. */
        public RolloutReported {
            tallies = List.copyOf(tallies);
        }
    }

    /**
     * The current servers.
     *
     * @param servers the servers
     * @param evacuated the failure domains whose servers get no requests
     * @param wallMillis the wall-clock time, in Unix milliseconds; 0 if not known
     */
    record ServersChanged(List<PoolServer> servers, Set<FailureDomain> evacuated, long wallMillis)
            implements DispatchEvent {
        /** Makes an event without evacuated failure domains and the wall-clock time. */
        public ServersChanged(List<PoolServer> servers) {
            this(servers, Set.of(), 0);
        }

        /** Copies the collections. */
        public ServersChanged {
            evacuated = Set.copyOf(evacuated);
            servers = List.copyOf(servers);
        }
    }

    /** The current pools and quotas. */
    record LimitsChanged(Map<ServiceId, Pool> pools, Map<WorkspaceId, Quota> quotas)
            implements DispatchEvent {
        /** Copies the maps. */
        public LimitsChanged {
            pools = Map.copyOf(pools);
            quotas = Map.copyOf(quotas);
        }
    }

    /**
     * The fractions of all servers' slots and of all quotas that this scheduler may grant.
     *
     * @param slots from 0 (exclusive) to 1
     * @param quota from 0 (exclusive) to 1
     * @param hosts the hosts among which servers in a special state are shared
     */
    record ShareChanged(double slots, double quota, KnownHosts hosts) implements DispatchEvent {
        /** Makes a change without known hosts. */
        public ShareChanged(double slots, double quota) {
            this(slots, quota, KnownHosts.NONE);
        }
    }

    /**
     * The previous primary stopped granting quotas and hands over what is left of them.
     *
     * @param parts the fraction of its burst that each workspace has left: at most 1, and negative
     *     for a debt
     */
    record QuotasHandedOver(Map<WorkspaceId, Double> parts) implements DispatchEvent {
        /** Copies the map and checks the parts. */
        public QuotasHandedOver {
            parts = Map.copyOf(parts);
            if (parts.values().stream().anyMatch(part -> !Double.isFinite(part) || part > 1)) {
                throw new IllegalArgumentException(
                        "quota parts must be finite and at most 1, found " + parts);
            }
        }
    }

    /**
     * A version of a pool is to be rolled out.
     *
     * @param order the order
     * @param observedNanos when this host observed the order, on its monotonic clock
     * @param evidenceHere whether this scheduler receives the outcomes of the pool's runs and may
     *     use the new version
     */
    record RolloutOrdered(RolloutOrder order, long observedNanos, boolean evidenceHere)
            implements DispatchEvent {}

    /** The recorded outcome of a rollout. */
    record RolloutSettled(RolloutOrder order, RolloutOutcome outcome) implements DispatchEvent {}

    /**
     * Time passed. Sent at least every 20 ms while requests are queued, and every 100 ms otherwise.
     */
    record Tick() implements DispatchEvent {}
}

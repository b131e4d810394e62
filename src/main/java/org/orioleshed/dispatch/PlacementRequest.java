package org.orioleshed.dispatch;

import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.quarantine.RequestContent;

/**
 * What a request requires of a pool.
 *
 * @param service the pool
 * @param route the route of the request
 * @param workspace the workspace whose quota it uses; empty if it uses none, as for a further
 *     server
 * @param domain the failure domain of the host that accepted it
 * @param rank its rank; 0 is the most urgent
 * @param targetLeftMillis the time left until the latency target, in milliseconds; may be negative
 * @param deadlineLeftMillis the time left until the caller's deadline, in milliseconds
 * @param promptTokens the number of prompt tokens; 0 for a plain service
 * @param outputTokens the expected number of output tokens; 0 for a plain service
 * @param quotaUnits the units that it uses of the workspace's quota
 * @param content what it holds
 * @param excluded the servers that must not run it
 * @param allowedDomains the failure domains whose servers may run it; empty if all may
 */
public record PlacementRequest(
        ServiceId service,
        RouteId route,
        Optional<WorkspaceId> workspace,
        FailureDomain domain,
        int rank,
        long targetLeftMillis,
        long deadlineLeftMillis,
        long promptTokens,
        long outputTokens,
        long quotaUnits,
        RequestContent content,
        Set<ServerId> excluded,
        Optional<Set<FailureDomain>> allowedDomains) {
    /** The number of route ranks within each workspace rank; workspace ranks take precedence. */
    private static final int ROUTE_RANKS = 64;

    /** Creates a request that servers of all failure domains may run. */
    public PlacementRequest(
            ServiceId service,
            RouteId route,
            Optional<WorkspaceId> workspace,
            FailureDomain domain,
            int rank,
            long targetLeftMillis,
            long deadlineLeftMillis,
            long promptTokens,
            long outputTokens,
            long quotaUnits,
            RequestContent content,
            Set<ServerId> excluded) {
        this(
                service,
                route,
                workspace,
                domain,
                rank,
                targetLeftMillis,
                deadlineLeftMillis,
                promptTokens,
                outputTokens,
                quotaUnits,
                content,
                excluded,
                Optional.empty());
    }

    /** Copies the sets. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
        allowedDomains = allowedDomains.map(Set::copyOf);
    }

    /** Returns whether a server may run this request. */
    boolean permits(PoolServer server) {
        return !excluded.contains(server.id()) && permitsDomain(server.domain());
    }

    /** Returns whether servers of a failure domain may run this request. */
    boolean permitsDomain(FailureDomain serverDomain) {
        return allowedDomains.map(allowed -> allowed.contains(serverDomain)).orElse(true);
    }

    /**
     * Returns whether a queued request competes with this one for servers. One for other failure
     * domains only must not hold this one back while its own domains have no free slot.
     */
    boolean competesWith(PlacementRequest queued) {
        return queued.allowedDomains.isEmpty() || queued.allowedDomains.equals(allowedDomains);
    }

    /**
     * Combines the ranks of a workspace and a route.
     *
     * @param workspaceRank the rank of the workspace; 0 is the most urgent
     * @param routeRank the rank of the route; 0 is the most urgent
     */
    public static int rank(int workspaceRank, int routeRank) {
        return workspaceRank * ROUTE_RANKS + Math.min(routeRank, ROUTE_RANKS - 1);
    }

    /** Returns the rank of the route within its workspace rank. */
    int routeRank() {
        return rank % ROUTE_RANKS;
    }

    /**
     * Returns this request without a quota, for use where the quota is charged by another
     * scheduler.
     */
    public PlacementRequest withoutQuota() {
        return with(Optional.empty(), 0, 0);
    }

    /**
     * Returns this request as of a later moment, with less time left.
     *
     * @param laterMillis how much later, in milliseconds
     */
    public PlacementRequest aged(long laterMillis) {
        return with(workspace, quotaUnits, laterMillis);
    }

    private PlacementRequest with(Optional<WorkspaceId> quotaOwner, long units, long laterMillis) {
        return new PlacementRequest(
                service,
                route,
                quotaOwner,
                domain,
                rank,
                targetLeftMillis - laterMillis,
                deadlineLeftMillis - laterMillis,
                promptTokens,
                outputTokens,
                units,
                content,
                excluded,
                allowedDomains);
    }
}

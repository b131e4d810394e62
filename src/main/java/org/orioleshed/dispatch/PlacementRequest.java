package org.orioleshed.dispatch;

import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/**
 * What a request needs of a pool.
 *
 * @param service the pool
 * @param route the route of the request
 * @param workspace whose quota it uses; empty where it uses none, as for a second server
 * @param domain the failure domain of the host that accepted it
 * @param rank its urgency, 0 first
 * @param targetLeftMillis the time left in which an answer is worth most, in milliseconds; may be
 *     negative
 * @param deadlineLeftMillis the time left until its caller gives up, in milliseconds
 * @param promptTokens the tokens to read; 0 for a plain service
 * @param outputTokens the expected tokens to generate; 0 for a plain service
 * @param quotaUnits what it uses of the workspace's quota
 * @param content a fingerprint of what is asked and by whom
 * @param excluded servers that must not get it
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
        long content,
        Set<ServerId> excluded) {
    /** A workspace's rank goes before the route's; no route has a rank this low. */
    private static final int RANKS_OF_A_WORKSPACE = 64;

    /** Copies the set. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns the rank of a call.
     *
     * @param ofWorkspace the rank of its workspace, 0 first
     * @param ofRoute the rank of its route, 0 first
     */
    public static int rank(int ofWorkspace, int ofRoute) {
        return ofWorkspace * RANKS_OF_A_WORKSPACE + Math.min(ofRoute, RANKS_OF_A_WORKSPACE - 1);
    }

    /** Returns the rank of its route among those of a workspace. */
    int routeRank() {
        return rank % RANKS_OF_A_WORKSPACE;
    }

    /** Returns the same request without a quota to use, since that is paid elsewhere. */
    public PlacementRequest withoutQuota() {
        return with(Optional.empty(), 0, 0);
    }

    /** Returns the same request at a later moment. */
    public PlacementRequest aged(long laterMillis) {
        return with(workspace, quotaUnits, laterMillis);
    }

    private PlacementRequest with(Optional<WorkspaceId> payer, long units, long laterMillis) {
        return new PlacementRequest(
                service,
                route,
                payer,
                domain,
                rank,
                targetLeftMillis - laterMillis,
                deadlineLeftMillis - laterMillis,
                promptTokens,
                outputTokens,
                units,
                content,
                excluded);
    }
}

package org.orioleshed.host;

import org.orioleshed.claim.ClaimLimits;
import org.orioleshed.request.RequestLimits;
import org.orioleshed.routing.RoutingLimits;

/**
 * The bounds of an entry host's decisions.
 *
 * @param routing the bounds of the owners
 * @param request the bounds of the accepting side
 * @param claim the bounds of claims
 */
public record HostLimits(RoutingLimits routing, RequestLimits request, ClaimLimits claim) {
    /** The bounds of a host whose settings state none. */
    public static final HostLimits DEFAULTS =
            new HostLimits(RoutingLimits.DEFAULTS, RequestLimits.DEFAULTS, ClaimLimits.DEFAULTS);
}

package org.orioleshed.host;

import org.orioleshed.claim.ClaimLimits;
import org.orioleshed.request.RequestLimits;
import org.orioleshed.routing.RoutingLimits;

/**
 * The limits of an entry host's decisions.
 *
 * @param routing the limits of server owners
 * @param request the limits of accepted requests
 * @param claim the limits of claims
 */
public record HostLimits(RoutingLimits routing, RequestLimits request, ClaimLimits claim) {
    /** The limits of a host whose settings specify none. */
    public static final HostLimits DEFAULTS =
            new HostLimits(RoutingLimits.DEFAULTS, RequestLimits.DEFAULTS, ClaimLimits.DEFAULTS);
}

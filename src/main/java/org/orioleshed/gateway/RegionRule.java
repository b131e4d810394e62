package org.orioleshed.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;

/** Where a request may be served, by the regions that its route and its workspace allow. */
final class RegionRule {
    private final Map<FailureDomain, Region> regions;
    private final FailureDomain own;

    /**
     * Creates a rule.
     *
     * @param regions the region of each failure domain; a domain without one is in no allowed
     *     region
     * @param own the failure domain of this host
     */
    RegionRule(Map<FailureDomain, Region> regions, FailureDomain own) {
        this.regions = Map.copyOf(regions);
        this.own = own;
    }

    /**
     * Returns the failure domains whose servers may run a request; empty if all may. The set is
     * empty if no domain is in a region that both allow.
     *
     * @param route the regions that the route allows; empty for all
     * @param workspace the regions that the workspace allows; empty for all
     */
    Optional<Set<FailureDomain>> allowed(Set<Region> route, Set<Region> workspace) {
        if (route.isEmpty() && workspace.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                regions.entrySet().stream()
                        .filter(entry -> route.isEmpty() || route.contains(entry.getValue()))
                        .filter(
                                entry ->
                                        workspace.isEmpty() || workspace.contains(entry.getValue()))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Returns whether the body of a request may be sent to another host: one in an allowed domain,
     * or in the region of this host, to which the caller connected.
     *
     * @param allowed the result of {@link #allowed}
     * @param host the failure domain of the other host
     */
    boolean mayReceiveBody(Optional<Set<FailureDomain>> allowed, FailureDomain host) {
        return allowed.map(it -> it.contains(host)).orElse(true)
                || (regions.containsKey(own) && regions.get(own).equals(regions.get(host)));
    }
}
